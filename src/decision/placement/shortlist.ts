/**
 * Chooses the endpoints that are considered for one request, where there are many.
 *
 * A deployment may have hundreds of instances in front of dozens or hundreds of endpoints. To weigh every endpoint for
 * each request, an instance would have to know the load of all other instances at all endpoints, and the reports would
 * grow with both numbers. The best of a few random endpoints is nearly as good as the best of all, and does not draw
 * all instances to the one that looked idle in the last report.
 *
 * The owner of a prompt's blocks is the same for all instances, so the owner and its successor are always included.
 * Endpoints of the instance's own data centre are included too, so that an instance that is cut off from the others has
 * some to choose from.
 *
 * Where endpoints with an idle connection are preferred, half of the random candidates are drawn from these.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {extendHash, finishHash, hashStateOf} from '../../shared/hash-of.js';
import {ownersOf} from './prompt-owners.js';
import {type PlacementRequest} from './placement.js';

/** Up to this many endpoints are all considered. */
export const shortlistLength = 16;
/** How many of them own the prompt's blocks. */
const ownerCount = 2;
/** Owners, and endpoints of the instance's own data centre that are drawn up to this number in all. */
const nearLength = 9;
/** Share of the random candidates that are drawn from the endpoints with an idle connection. */
const idleShare = 0.5;
/** A draw that hits an endpoint already chosen is repeated; this bounds the draws for each endpoint wanted. */
const drawsPerEndpoint = 4;

/** What the draw depends on besides the request. */
export type Draw = {
	/** Data centre of this instance. */
	dataCentre: string;
	/** Number of the draw for the same request; 0 if absent. */
	sample?: number;
	/** Whether an endpoint is preferred for its idle connection; absent where none is. */
	hasIdleConnection?: ((endpoint: EndpointRecord) => boolean) | undefined;
};

/**
 * Returns the endpoints to consider.
 *
 * @param request - The request; its id and the endpoints it was already sent to decide the draw.
 * @param endpoints - All that could serve it.
 * @param draw - What the draw depends on besides the request.
 */
export function shortlist(request: PlacementRequest, endpoints: readonly EndpointRecord[], {dataCentre, sample = 0, hasIdleConnection}: Draw): EndpointRecord[] {
	if (endpoints.length <= shortlistLength) {
		return [...endpoints];
	}

	const {id, prompt, cacheScope, attempted} = request;
	const chosen = new Set(prompt === undefined ? [] : ownersOf(prompt, cacheScope, endpoints, ownerCount));
	const isNear = (endpoint: EndpointRecord): boolean => endpoint.dataCentre === dataCentre;
	const seed = `${id}|${attempted.size}|${sample}`;
	const idle = hasIdleConnection === undefined ? [] : endpoints.filter(endpoint => hasIdleConnection(endpoint));
	drawPreferred(idle.filter(endpoint => isNear(endpoint)), nearLength, chosen, `${seed}|near|idle`);
	draw(endpoints.filter(endpoint => isNear(endpoint)), nearLength, chosen, `${seed}|near`);
	drawPreferred(idle, shortlistLength, chosen, `${seed}|idle`);
	draw(endpoints, shortlistLength, chosen, seed);
	return [...chosen];
}

/** Draws the preferred share of the endpoints that are missing. */
function drawPreferred(endpoints: readonly EndpointRecord[], length: number, chosen: Set<EndpointRecord>, seed: string): void {
	draw(endpoints, chosen.size + Math.ceil(idleShare * (length - chosen.size)), chosen, seed);
}

/** Draws endpoints by the seed until there are enough, or the draws are used up. */
function draw(endpoints: readonly EndpointRecord[], length: number, chosen: Set<EndpointRecord>, seed: string): void {
	const state = hashStateOf(`${seed}|`);
	for (let count = 0; chosen.size < length && endpoints.length > 0 && count < drawsPerEndpoint * length; count++) {
		chosen.add(endpoints[finishHash(extendHash(state, String(count))) % endpoints.length]!);
	}
}
