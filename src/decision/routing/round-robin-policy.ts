/** Baseline: the endpoints in turn, regardless of their load and their caches. */
import {isCandidate} from './is-candidate.js';
import {
	type EndpointView, type RouteChoice, type RouteRequest, type RoutingPolicy,
} from './routing-policy.js';

const noEndpointRetryMilliseconds = 2000;

export class RoundRobinPolicy implements RoutingPolicy {
	#turn: number;

	constructor(start: number) {
		this.#turn = start;
	}

	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice {
		const candidates = endpoints.filter(endpoint => isCandidate(endpoint, request, now));
		const endpoint = candidates[this.#turn++ % Math.max(1, candidates.length)];
		return endpoint === undefined
			? {kind: 'none', retryAfterMilliseconds: noEndpointRetryMilliseconds}
			: {kind: 'send', endpoint};
	}

	observe(): void {
		// The order does not depend on events.
	}
}
