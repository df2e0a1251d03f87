/**
 * Baseline: the endpoint with the fewest requests, by its last report and what was sent since. It ignores cached
 * prefixes, so a returning prompt is recomputed wherever it is sent.
 */
import {isCandidate} from './is-candidate.js';
import {
	type AttemptEvent, type EndpointView, type RouteChoice, type RouteRequest, type RoutingPolicy,
} from './routing-policy.js';

const noEndpointRetryMilliseconds = 2000;

export class LeastLoadedPolicy implements RoutingPolicy {
	/** This instance's requests in flight, by endpoint. */
	readonly #inFlight = new Map<string, number>();

	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice {
		const candidates = endpoints
			.filter(endpoint => isCandidate(endpoint, request, now))
			.toSorted((left, right) => this.#rank(left, request) - this.#rank(right, request));
		const [endpoint] = candidates;
		return endpoint === undefined
			? {kind: 'none', retryAfterMilliseconds: noEndpointRetryMilliseconds}
			: {kind: 'send', endpoint};
	}

	observe(event: AttemptEvent): void {
		const change = {
			sent: 1, 'first-token': 0, ended: -1, fetched: 0,
		}[event.kind];
		this.#inFlight.set(event.endpoint, (this.#inFlight.get(event.endpoint) ?? 0) + change);
	}

	#rank(endpoint: EndpointView, request: RouteRequest): number {
		const {load} = endpoint;
		const reported = load === undefined ? 0 : load.runningRequests + load.waitingRequests;
		const otherVersion = endpoint.weightVersion === request.weightVersion ? 0 : 1000;
		return otherVersion + Math.max(reported, this.#inFlight.get(endpoint.name) ?? 0);
	}
}
