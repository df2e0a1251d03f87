/**
 * The loads of all instances, by endpoint. They are indexed as they are reported, so that the cost of an answer grows with the
 * instances that use the queried endpoints, not with all instances. They stay packed, since the coordinator sums thousands of
 * loads a second.
 */
import {noLoad} from '../../decision/placement/endpoint-load.js';
import {
	lastByteAgoIndex, oldestWaitIndex, packLoad, type PackedLoad,
} from './coordinator-messages.js';

const emptyLoad = packLoad(noLoad);

export class LoadTotals {
	readonly #byEndpoint = new Map<string, Map<string, PackedLoad>>();
	readonly #endpointsOf = new Map<string, string[]>();

	/** Replaces all loads that an instance reported before. */
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

	/** Removes all loads of an instance. */
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

	/** The load of all instances but one at an endpoint. */
	totalWithout(endpoint: string, instance: string): PackedLoad {
		const sum = [...emptyLoad];
		for (const [other, load] of this.#byEndpoint.get(endpoint) ?? []) {
			if (other !== instance) {
				addPacked(sum, load);
			}
		}

		return sum;
	}

	/**
	 * Requests in flight at an endpoint.
	 *
	 * @param endpoint - The endpoint.
	 * @param of - The instances whose requests count; all if absent.
	 */
	requestsAt(endpoint: string, of?: ReadonlySet<string>): number {
		let requests = 0;
		for (const [instance, [count = 0]] of this.#byEndpoint.get(endpoint) ?? []) {
			requests += of === undefined || of.has(instance) ? count : 0;
		}

		return requests;
	}
}

/** Adds a load to a sum in place, by the same rules as `addLoads`. */
function addPacked(sum: PackedLoad, load: PackedLoad): void {
	for (const [index, value] of load.entries()) {
		const known = sum[index] ?? 0;
		if (index === oldestWaitIndex) {
			sum[index] = Math.max(known, value);
		} else if (index === lastByteAgoIndex) {
			sum[index] = Math.min(known, value);
		} else {
			sum[index] = known + value;
		}
	}
}
