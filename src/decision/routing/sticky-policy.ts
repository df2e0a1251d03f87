/**
 * Baseline: a prompt goes to the endpoint that a hash of its first block selects, and blocks that the endpoint lacks are
 * fetched from a store that has them. It reuses caches well, but a hot prefix overloads one endpoint.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type CachedPrefixes} from '../cache/cached-prefixes.js';
import {isCandidate} from './is-candidate.js';
import {
	type AttemptEvent, type EndpointView, type RouteChoice, type RouteRequest, type RoutingPolicy,
} from './routing-policy.js';

const noEndpointRetryMilliseconds = 2000;

export class StickyPolicy implements RoutingPolicy {
	readonly #prefixes: CachedPrefixes;
	readonly #stores: readonly string[];

	constructor(prefixes: CachedPrefixes, stores: readonly string[]) {
		this.#prefixes = prefixes;
		this.#stores = stores;
	}

	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice {
		const key = request.pieceKeys[0] ?? request.requestId;
		const hash = (endpoint: EndpointView): number => hashOf(`${key}|${endpoint.name}`);
		const [endpoint] = endpoints
			.filter(candidate => isCandidate(candidate, request, now))
			.toSorted((left, right) => hash(right) - hash(left));
		if (endpoint === undefined) {
			return {kind: 'none', retryAfterMilliseconds: noEndpointRetryMilliseconds};
		}

		const counts = this.#prefixes.leadingBlocks(request.pieceKeys);
		const here = counts.get(endpoint.name) ?? 0;
		const store = this.#stores.find(name => (counts.get(name) ?? 0) > here);
		return store === undefined
			? {kind: 'send', endpoint}
			: {kind: 'send', endpoint, fetch: {store, pieceKeys: request.pieceKeys.slice(here, counts.get(store))}};
	}

	observe(event: AttemptEvent): void {
		if (event.kind === 'first-token') {
			this.#prefixes.add(event.endpoint, event.request.pieceKeys);
		} else if (event.kind === 'fetched') {
			this.#prefixes.remove(event.store, event.pieceKeys.slice(event.pieces));
		}
	}
}
