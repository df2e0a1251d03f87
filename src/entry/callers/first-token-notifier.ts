/** A routing policy that also notifies the admission gate of first tokens, which only attempts observe. */
import {
	type AttemptEvent, type EndpointView, type RouteChoice, type RouteRequest, type RoutingPolicy,
} from '../../decision/routing/routing-policy.js';
import {type AdmissionGate} from './admission-gate.js';

export class FirstTokenNotifier implements RoutingPolicy {
	readonly #policy: RoutingPolicy;
	readonly #gate: AdmissionGate;

	constructor(policy: RoutingPolicy, gate: AdmissionGate) {
		this.#policy = policy;
		this.#gate = gate;
	}

	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice {
		return this.#policy.choose(request, endpoints, now);
	}

	observe(event: AttemptEvent, now: number): void {
		this.#policy.observe(event, now);
		if (event.kind === 'first-token') {
			this.#gate.firstToken(event.request.requestId);
		}
	}
}
