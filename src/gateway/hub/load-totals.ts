/**
 * What all instances have under way, by endpoint. Kept as it is told, so that an answer costs as much as the endpoints in
 * question are busy, not as much as there are instances.
 */
import {addLoads, type EndpointLoad, noLoad} from '../../decision/placement/endpoint-load.js';
import {type PackedLoad, unpackLoad} from './hub-messages.js';

export class LoadTotals {
	readonly #byEndpoint = new Map<string, Map<string, EndpointLoad>>();
	readonly #endpointsOf = new Map<string, string[]>();

	/** Takes the place of all that an instance told before. */
	set(instance: string, loads: Record<string, PackedLoad>): void {
		this.remove(instance);
		const endpoints = Object.keys(loads);
		this.#endpointsOf.set(instance, endpoints);
		for (const endpoint of endpoints) {
			const byInstance = this.#byEndpoint.get(endpoint) ?? new Map<string, EndpointLoad>();
			this.#byEndpoint.set(endpoint, byInstance);
			byInstance.set(instance, unpackLoad(loads[endpoint]!));
		}
	}

	/** Forgets an instance. */
	remove(instance: string): void {
		for (const endpoint of this.#endpointsOf.get(instance) ?? []) {
			const byInstance = this.#byEndpoint.get(endpoint);
			byInstance?.delete(instance);
			if (byInstance?.size === 0) {
				this.#byEndpoint.delete(endpoint);
			}
		}

		this.#endpointsOf.delete(instance);
	}

	/** What all instances but one have under way at an endpoint. */
	withoutInstance(endpoint: string, instance: string): EndpointLoad {
		let sum = noLoad;
		for (const [other, load] of this.#byEndpoint.get(endpoint) ?? []) {
			sum = other === instance ? sum : addLoads(sum, load);
		}

		return sum;
	}

	/** Requests of all instances at an endpoint. */
	requestsAt(endpoint: string): number {
		let requests = 0;
		for (const load of this.#byEndpoint.get(endpoint)?.values() ?? []) {
			requests += load.requests;
		}

		return requests;
	}
}
