/**
 * The loads of all instances, by endpoint. They are indexed as they are reported, so that the cost of an answer grows with the
 * instances that use the queried endpoints, not with all instances. They stay packed, since the coordinator sums thousands of
 * loads a second.
 */
import {noLoad} from '../../decision/placement/endpoint-load.js';
import {
	lastByteAgoIndex, oldestWaitIndex, packLoad, type PackedLoad,
} from './coordinator-messages.js';

const emptyLoad: Readonly<PackedLoad> = packLoad(noLoad);

/** The loads at one endpoint, by instance, and the sum of their requests. `total` is absent until it is queried after a change. */
type EndpointLoads = {byInstance: Map<string, PackedLoad>; requests: number; total: Readonly<PackedLoad> | undefined};

export class LoadTotals {
	readonly #byEndpoint = new Map<string, EndpointLoads>();
	/** The endpoints at which an instance has reported a load. */
	readonly #endpointsOf = new Map<string, readonly string[]>();

	/** Replaces all loads that an instance reported before. */
	set(instance: string, loads: Record<string, PackedLoad>): void {
		for (const endpoint of this.#endpointsOf.get(instance) ?? []) {
			if (loads[endpoint] === undefined) {
				this.#removeAt(endpoint, instance);
			}
		}

		const endpoints = Object.keys(loads);
		for (const endpoint of endpoints) {
			const load = loads[endpoint]!;
			let atEndpoint = this.#byEndpoint.get(endpoint);
			if (atEndpoint === undefined) {
				atEndpoint = {byInstance: new Map(), requests: 0, total: undefined};
				this.#byEndpoint.set(endpoint, atEndpoint);
			}

			atEndpoint.requests += requestsOf(load) - requestsOf(atEndpoint.byInstance.get(instance));
			atEndpoint.byInstance.set(instance, load);
			atEndpoint.total = undefined;
		}

		this.#endpointsOf.set(instance, endpoints);
	}

	/** Removes all loads of an instance. */
	remove(instance: string): void {
		for (const endpoint of this.#endpointsOf.get(instance) ?? []) {
			this.#removeAt(endpoint, instance);
		}

		this.#endpointsOf.delete(instance);
	}

	/** The load of all instances but one at an endpoint. */
	totalWithout(endpoint: string, instance: string): Readonly<PackedLoad> {
		const atEndpoint = this.#byEndpoint.get(endpoint);
		if (atEndpoint === undefined) {
			return emptyLoad;
		}

		if (!atEndpoint.byInstance.has(instance)) {
			atEndpoint.total ??= sumOf(atEndpoint.byInstance);
			return atEndpoint.total;
		}

		return atEndpoint.byInstance.size === 1 ? emptyLoad : sumOf(atEndpoint.byInstance, instance);
	}

	/**
	 * Requests in flight at an endpoint.
	 *
	 * @param endpoint - The endpoint.
	 * @param of - The instances whose requests count; all if absent.
	 */
	requestsAt(endpoint: string, of?: ReadonlySet<string>): number {
		const atEndpoint = this.#byEndpoint.get(endpoint);
		if (atEndpoint === undefined || of === undefined) {
			return atEndpoint?.requests ?? 0;
		}

		let requests = 0;
		for (const instance of of) {
			requests += requestsOf(atEndpoint.byInstance.get(instance));
		}

		return requests;
	}

	#removeAt(endpoint: string, instance: string): void {
		const atEndpoint = this.#byEndpoint.get(endpoint);
		if (atEndpoint !== undefined) {
			atEndpoint.requests -= requestsOf(atEndpoint.byInstance.get(instance));
			atEndpoint.byInstance.delete(instance);
			atEndpoint.total = undefined;
			if (atEndpoint.byInstance.size === 0) {
				this.#byEndpoint.delete(endpoint);
			}
		}
	}
}

function requestsOf(load: PackedLoad | undefined): number {
	return load?.[0] ?? 0;
}

/** The sum of all loads, without that of one instance if it is given. */
function sumOf(loads: ReadonlyMap<string, PackedLoad>, without?: string): PackedLoad {
	const sum = [...emptyLoad];
	for (const [instance, load] of loads) {
		if (instance !== without) {
			addPacked(sum, load);
		}
	}

	return sum;
}

/** Adds a load to a sum in place, by the same rules as `addLoads`. */
function addPacked(sum: PackedLoad, load: PackedLoad): void {
	const oldestWait = Math.max(sum[oldestWaitIndex]!, load[oldestWaitIndex] ?? 0);
	const lastByteAgo = Math.min(sum[lastByteAgoIndex]!, load[lastByteAgoIndex] ?? Number.POSITIVE_INFINITY);
	for (let index = load.length - 1; index >= 0; index--) {
		sum[index] = (sum[index] ?? 0) + load[index]!;
	}

	sum[oldestWaitIndex] = oldestWait;
	sum[lastByteAgoIndex] = lastByteAgo;
}
