/**
 * What this instance knows of one endpoint from its own requests: what it sent since the last load report, how the
 * endpoint's latency compares with the expected one, and whether it failed.
 *
 * Load reports lag, and an endpoint may be slow or failing while its report says that it is idle. Without this history
 * every instance sends to the endpoint that looked idle half a second ago, and a slow endpoint, which always looks idle
 * because it does so little, attracts ever more requests.
 */
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** Number of answers after which an endpoint can count as slow: with fewer, one unlucky prompt would decide. */
const minLatencySamples = 4;
const latencyWeight = 0.2;
/** Half-life of an endpoint's slowness while there are no new samples, so that it gets a probe now and then. */
const slownessHalfLifeMilliseconds = 15_000;
const maxSlowness = 8;
/** Shorter expected times are raised to this, since a ratio of two tiny times is meaningless. */
const minExpectedMilliseconds = 30;
/** Half-life of the count of urgent sends: long enough for a few tens of samples, short enough for a night. */
const urgentHalfLifeMilliseconds = 45_000;
const firstCircuitMilliseconds = 1000;
const maxCircuitMilliseconds = 30_000;
/** Reports whose clock differs by more than this are dated by their arrival. */
const maxClockSkewMilliseconds = 10_000;

type SentRequest = {at: number; tokens: number; rank: number; expected: number; fetched: number};

export class EndpointHistory {
	/** Number of this instance's requests in flight. */
	inFlight = 0;
	#urgentSends = 0;
	#urgentSendsAt = 0;
	readonly #sent = new Map<string, SentRequest>();
	#latencyRatio = 1;
	#samples = 0;
	#sampledAt = 0;
	#failures = 0;
	#openUntil = 0;

	/**
	 * All requests sent since the endpoint's report was made, and the prompt tokens of those with this rank or a more
	 * urgent one.
	 */
	sentSince(view: EndpointView, rank: number): {tokens: number; requests: number} {
		const measuredAt = view.load?.measuredAt ?? 0;
		const since = Math.abs(view.heardAt - measuredAt) < maxClockSkewMilliseconds ? measuredAt : view.heardAt;
		let tokens = 0;
		let requests = 0;
		for (const sent of this.#sent.values()) {
			if (sent.at >= since) {
				requests++;
				tokens += sent.rank <= rank ? sent.tokens : 0;
			}
		}

		return {tokens, requests};
	}

	/** How many times slower the endpoint is than its load explains; 1 if it is not. */
	slownessAt(now: number, usualRatio: number): number {
		if (this.#samples < minLatencySamples) {
			return 1;
		}

		const decay = 0.5 ** ((now - this.#sampledAt) / slownessHalfLifeMilliseconds);
		const slowness = 1 + (((this.#latencyRatio / usualRatio) - 1) * decay);
		return Math.min(maxSlowness, Math.max(1, slowness));
	}

	/** Urgent requests that this instance sent there lately, decaying over time. */
	urgentSendsAt(now: number): number {
		return this.#urgentSends * (0.5 ** ((now - this.#urgentSendsAt) / urgentHalfLifeMilliseconds));
	}

	/** Whether failures keep the circuit open. Each time that its open time is over, a request goes through as a probe. */
	isCircuitOpen(now: number): boolean {
		return now < this.#openUntil;
	}

	sent(request: RouteRequest, sent: SentRequest): void {
		this.inFlight++;
		if (sent.rank === 0) {
			this.#urgentSends = this.urgentSendsAt(sent.at) + 1;
			this.#urgentSendsAt = sent.at;
		}

		this.#sent.set(request.requestId, sent);
	}

	fetched(requestId: string, milliseconds: number): void {
		const sent = this.#sent.get(requestId);
		if (sent !== undefined) {
			sent.fetched = milliseconds;
		}
	}

	/** Records a first token and returns the ratio of its delay to the expected one. */
	firstToken(requestId: string, afterMilliseconds: number, now: number): number {
		const sent = this.#sent.get(requestId);
		this.#sent.delete(requestId);
		if (sent === undefined) {
			return 1;
		}

		const ratio = Math.max(minExpectedMilliseconds, afterMilliseconds - sent.fetched) / Math.max(minExpectedMilliseconds, sent.expected);
		this.#latencyRatio += latencyWeight * (Math.min(ratio, 2 * maxSlowness) - this.#latencyRatio);
		this.#samples++;
		this.#sampledAt = now;
		return ratio;
	}

	ended(requestId: string, outcome: 'whole' | 'failed' | 'cancelled', now: number): void {
		this.inFlight--;
		this.#sent.delete(requestId);
		if (outcome === 'whole') {
			this.#failures = 0;
		} else if (outcome === 'failed') {
			this.#failures++;
			this.#openUntil = now + Math.min(maxCircuitMilliseconds, firstCircuitMilliseconds * (2 ** (this.#failures - 1)));
		}
	}
}
