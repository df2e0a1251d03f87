/**
 * The endpoints that are looked at for one request, where there are many.
 *
 * Load it answers: hundreds of instances before dozens or hundreds of endpoints. To weigh each endpoint for each request, an
 * instance would have to know what all others do at all of them: news that grow with both. The better of a few at random is
 * nearly as good as the best of all, and does not draw all instances to the one that looked idle in the last news. Where a
 * prompt would be read anew is the same for all instances, so its home and the next one are always among them; endpoints of
 * the own data centre are, so that an instance that is cut off from the others has some to choose from.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {hashOf} from '../../shared/hash-of.js';
import {homesOf} from './home-of.js';
import {type PlacementRequest} from './placement.js';

/** Fewer endpoints are all looked at. */
export const shortlistLength = 16;
/** How many of them are the homes of the prompt. */
const homes = 2;
/** How many are of the own data centre at least, with the homes. */
const nearLength = 9;
/** Draws that hit an endpoint that was drawn before are repeated, this often at most. */
const drawsPerPlace = 4;

/**
 * Gives the endpoints to look at.
 *
 * @param request - The request; its id and the endpoints that it tried before decide the draw.
 * @param endpoints - All that could take it.
 * @param dataCentre - Where this instance stands.
 * @param sample - Which draw for the same request.
 */
export function shortlist(request: PlacementRequest, endpoints: readonly EndpointRecord[], dataCentre: string, sample = 0): EndpointRecord[] {
	if (endpoints.length <= shortlistLength) {
		return [...endpoints];
	}

	const {id, prompt, cacheScope, tried} = request;
	const chosen = new Set(prompt === undefined ? [] : homesOf(prompt, cacheScope, endpoints, homes));
	const near = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre);
	const seed = `${id}|${tried.size}|${sample}`;
	draw(near, nearLength, chosen, `${seed}|near`);
	draw(endpoints, shortlistLength, chosen, seed);
	return [...chosen];
}

/** Adds endpoints by the seed until there are enough, or hardly any is left to draw. */
function draw(endpoints: readonly EndpointRecord[], length: number, chosen: Set<EndpointRecord>, seed: string): void {
	for (let count = 0; chosen.size < length && endpoints.length > 0 && count < drawsPerPlace * length; count++) {
		chosen.add(endpoints[hashOf(`${seed}|${count}`) % endpoints.length]!);
	}
}
