/**
 * Selects the endpoints that a routing decision considers. With few endpoints these are all of them; with many, those
 * that hold the most of the prefix, and a spread sample of the rest. The shortest of sixteen random queues is nearly as
 * short as the shortest of all, and the cost of a decision does not grow with the number of endpoints.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** Up to this many endpoints of a service are all considered; deployments have 13 at most. */
export const maxUnsampledEndpoints = 32;
const sampledEndpoints = 16;
const holderEndpoints = 8;

/**
 * Positions of endpoints in the view. A load report replaces an endpoint in its position; only a change of the list moves
 * endpoints.
 */
type Positions = {length: number; byName: ReadonlyMap<string, number>; byService: ReadonlyMap<string, number[]>};

export class EndpointIndex {
	#positions: Positions = {length: -1, byName: new Map(), byService: new Map()};

	/** Returns the endpoints to consider for a request. */
	candidatesFor(request: RouteRequest, endpoints: readonly EndpointView[], cachedBlocks: ReadonlyMap<string, number>): readonly EndpointView[] {
		const found = this.#lookUp(request, endpoints, cachedBlocks);
		if (found !== undefined) {
			return found;
		}

		this.#positions = positionsOf(endpoints);
		return this.#lookUp(request, endpoints, cachedBlocks) ?? [];
	}

	/** Returns `undefined` if an endpoint is no longer at its known position. */
	#lookUp(request: RouteRequest, endpoints: readonly EndpointView[], cachedBlocks: ReadonlyMap<string, number>): EndpointView[] | undefined {
		const {length, byName, byService} = this.#positions;
		if (length !== endpoints.length) {
			return undefined;
		}

		const ofService = byService.get(request.service) ?? [];
		const isSmall = ofService.length <= maxUnsampledEndpoints;
		const chosen = new Set<number>(isSmall ? ofService : sampleOf(ofService, request.requestId));
		const holders = isSmall ? [] : topHolders(cachedBlocks);
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

function positionsOf(endpoints: readonly EndpointView[]): Positions {
	const byName = new Map<string, number>();
	const byService = new Map<string, number[]>();
	for (const [position, {name, service}] of endpoints.entries()) {
		byName.set(name, position);
		const ofService = byService.get(service);
		if (ofService === undefined) {
			byService.set(service, [position]);
		} else {
			ofService.push(position);
		}
	}

	return {length: endpoints.length, byName, byService};
}

function sampleOf(positions: readonly number[], requestId: string): number[] {
	const start = hashOf(requestId);
	const step = Math.floor(positions.length / sampledEndpoints);
	return Array.from({length: sampledEndpoints}, (_, index) => positions[(start + (index * step)) % positions.length]!);
}

/** Names of the holders of the most blocks. */
function topHolders(cachedBlocks: ReadonlyMap<string, number>): string[] {
	return [...cachedBlocks.entries()]
		.toSorted((left, right) => right[1] - left[1])
		.slice(0, holderEndpoints)
		.map(([name]) => name);
}
