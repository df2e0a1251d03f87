/**
 * What all instances have under way, by endpoint. Kept as it is told, so that an answer costs as much as the endpoints in
 * question are busy, not as much as there are instances; and packed, since the hub sums thousands of loads a second.
 */
import {noLoad} from '../../decision/placement/endpoint-load.js';
import {
	heardAgoIndex, oldestWaitIndex, packLoad, type PackedLoad,
} from './hub-messages.js';

const nothing = packLoad(noLoad);

export class LoadTotals {
	readonly #byEndpoint = new Map<string, Map<string, PackedLoad>>();
	readonly #endpointsOf = new Map<string, string[]>();

	/** Takes the place of all that an instance told before. */
	set(instance: string, loads: Record<string, PackedLoad>): void {
		this.remove(instance);
		const endpoints = Object.keys(loads);
		this.#endpointsOf.set(instance, endpoints);
		for (const endpoint of endpoints) {
			const byInstance = this.#byEndpoint.get(endpoint) ?? new Map<string, PackedLoad>();
			this.#byEndpoint.set(endpoint, byInstance);
			byInstance.set(instance, loads[endpoint]!);
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
	withoutInstance(endpoint: string, instance: string): PackedLoad {
		const sum = [...nothing];
		for (const [other, load] of this.#byEndpoint.get(endpoint) ?? []) {
			if (other !== instance) {
				addPacked(sum, load);
			}
		}

		return sum;
	}

	/** Requests of all instances at an endpoint. */
	requestsAt(endpoint: string): number {
		let requests = 0;
		for (const [count = 0] of this.#byEndpoint.get(endpoint)?.values() ?? []) {
			requests += count;
		}

		return requests;
	}
}

/** Adds as `addLoads` does. */
function addPacked(sum: PackedLoad, load: PackedLoad): void {
	for (const [index, value] of load.entries()) {
		const known = sum[index] ?? 0;
		if (index === oldestWaitIndex) {
			sum[index] = Math.max(known, value);
		} else if (index === heardAgoIndex) {
			sum[index] = Math.min(known, value);
		} else {
			sum[index] = known + value;
		}
	}
}
