/**
 * Selects the endpoints that a routing decision considers. With few endpoints these are all of them; with many, those
 * that hold the most of the prefix, and a spread sample of the rest. The shortest of sixteen random queues is nearly as
 * short as the shortest of all, and the cost of a decision does not grow with the number of endpoints.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** Up to this many endpoints of a service are all considered; deployments have 13 at most. */
export const wholeViewEndpoints = 32;
const sampledEndpoints = 16;
const holderEndpoints = 8;

/**
 * Positions of endpoints in the view. A load report replaces an endpoint in its position; only a change of the list moves
 * endpoints.
 */
type Places = {length: number; byName: ReadonlyMap<string, number>; byService: ReadonlyMap<string, number[]>};

export class EndpointIndex {
	#places: Places = {length: -1, byName: new Map(), byService: new Map()};

	/** Returns the endpoints to consider for a request. */
	candidatesFor(request: RouteRequest, endpoints: readonly EndpointView[], kept: ReadonlyMap<string, number>): readonly EndpointView[] {
		const found = this.#look(request, endpoints, kept);
		if (found !== undefined) {
			return found;
		}

		this.#places = placesOf(endpoints);
		return this.#look(request, endpoints, kept) ?? [];
	}

	/** Returns `undefined` if an endpoint is no longer at its known position. */
	#look(request: RouteRequest, endpoints: readonly EndpointView[], kept: ReadonlyMap<string, number>): EndpointView[] | undefined {
		const {length, byName, byService} = this.#places;
		if (length !== endpoints.length) {
			return undefined;
		}

		const ofService = byService.get(request.service) ?? [];
		const isSmall = ofService.length <= wholeViewEndpoints;
		const chosen = new Set<number>(isSmall ? ofService : sampleOf(ofService, request.requestId));
		const holders = isSmall ? [] : mostOf(kept);
		for (const name of holders) {
			const place = byName.get(name);
			if (place !== undefined && endpoints[place]!.name !== name) {
				return undefined;
			}

			if (place !== undefined) {
				chosen.add(place);
			}
		}

		const found: EndpointView[] = [];
		for (const place of chosen) {
			const endpoint = endpoints[place]!;
			if (byName.get(endpoint.name) !== place) {
				return undefined;
			}

			found.push(endpoint);
		}

		return found;
	}
}

function placesOf(endpoints: readonly EndpointView[]): Places {
	const byName = new Map<string, number>();
	const byService = new Map<string, number[]>();
	for (const [place, {name, service}] of endpoints.entries()) {
		byName.set(name, place);
		const ofService = byService.get(service);
		if (ofService === undefined) {
			byService.set(service, [place]);
		} else {
			ofService.push(place);
		}
	}

	return {length: endpoints.length, byName, byService};
}

function sampleOf(places: readonly number[], requestId: string): number[] {
	const start = hashOf(requestId);
	const step = Math.floor(places.length / sampledEndpoints);
	return Array.from({length: sampledEndpoints}, (_, index) => places[(start + (index * step)) % places.length]!);
}

/** Names of the holders of the most blocks. */
function mostOf(kept: ReadonlyMap<string, number>): string[] {
	return [...kept.entries()]
		.toSorted((left, right) => right[1] - left[1])
		.slice(0, holderEndpoints)
		.map(([name]) => name);
}
