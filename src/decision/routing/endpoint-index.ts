/**
 * Which endpoints a choice looks at. With few endpoints all of them; with many, those that hold the most of the prefix
 * and a spread sample of the rest: the least of sixteen random queues is nearly as short as the least of all, and the
 * cost of a choice no longer grows with the endpoints in view.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** Up to so many endpoints of a service all are looked at: today's deployments have 13 at most. */
export const wholeViewEndpoints = 32;
const sampledEndpoints = 16;
const holderEndpoints = 8;

type Indexed = {byName: ReadonlyMap<string, EndpointView>; byService: ReadonlyMap<string, EndpointView[]>};

export class EndpointIndex {
	#of: readonly EndpointView[] | undefined;
	#indexed: Indexed = {byName: new Map(), byService: new Map()};

	/** The endpoints to look at for a request. */
	candidatesFor(request: RouteRequest, endpoints: readonly EndpointView[], kept: ReadonlyMap<string, number>): readonly EndpointView[] {
		const {byName, byService} = this.#indexOf(endpoints);
		const all = byService.get(request.service) ?? [];
		if (all.length <= wholeViewEndpoints) {
			return all;
		}

		const chosen = new Set<EndpointView>();
		for (const [name] of [...kept.entries()].toSorted((left, right) => right[1] - left[1])) {
			const endpoint = byName.get(name);
			if (endpoint !== undefined && chosen.size < holderEndpoints) {
				chosen.add(endpoint);
			}
		}

		const start = hashOf(request.requestId);
		const step = Math.floor(all.length / sampledEndpoints);
		for (let index = 0; index < sampledEndpoints; index++) {
			chosen.add(all[(start + (index * step)) % all.length]!);
		}

		return [...chosen];
	}

	#indexOf(endpoints: readonly EndpointView[]): Indexed {
		if (this.#of === endpoints) {
			return this.#indexed;
		}

		const byName = new Map<string, EndpointView>();
		const byService = new Map<string, EndpointView[]>();
		for (const endpoint of endpoints) {
			byName.set(endpoint.name, endpoint);
			const ofService = byService.get(endpoint.service);
			if (ofService === undefined) {
				byService.set(endpoint.service, [endpoint]);
			} else {
				ofService.push(endpoint);
			}
		}

		this.#of = endpoints;
		this.#indexed = {byName, byService};
		return this.#indexed;
	}
}
