/**
 * What this instance knows of one endpoint from its own requests: what it sent since the last load report, how the
 * endpoint's latency compares with what was expected, and whether it failed.
 *
 * Load it answers: a load report that lags, and an endpoint that is slow or dying while its report says it is idle.
 * Without it every instance sends to the endpoint that looked idle half a second ago, and a slow endpoint, which always
 * looks idle because it takes so little, draws ever more.
 */
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** An endpoint counts as slow after so many answers: fewer would blame it for one unlucky prompt. */
const leastLatencySamples = 4;
const latencyWeight = 0.2;
/** A slow endpoint is forgiven half of its slowness in this time, so that it gets a probe now and then. */
const forgivenessMilliseconds = 15_000;
const mostSlowness = 8;
/** Expected times below this are taken as this: a ratio of two tiny times says nothing. */
const leastExpectedMilliseconds = 30;
/** Half of an urgent send is forgotten in this time: long enough for a few tens of samples, short enough for a night. */
const urgentMemoryMilliseconds = 45_000;
const firstCircuitMilliseconds = 1000;
const longestCircuitMilliseconds = 30_000;
/** Reports whose own clock is further off than this are dated by when they came. */
const clockTrustMilliseconds = 10_000;

type SentRequest = {at: number; tokens: number; rank: number; expected: number; fetched: number};

export class EndpointState {
	/** Requests of this instance under way. */
	underWay = 0;
	#urgentSends = 0;
	#urgentSendsAt = 0;
	readonly #sent = new Map<string, SentRequest>();
	#latencyRatio = 1;
	#samples = 0;
	#sampledAt = 0;
	#failures = 0;
	#openUntil = 0;

	/** Prompt tokens and requests that were sent since the endpoint's report was made, of a rank or a more urgent one. */
	sentSince(view: EndpointView, rank: number): {tokens: number; requests: number} {
		const measuredAt = view.load?.measuredAt ?? 0;
		const since = Math.abs(view.heardAt - measuredAt) < clockTrustMilliseconds ? measuredAt : view.heardAt;
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

	/** Times that the endpoint is slower than its load explains; 1 when it is not. */
	slownessAt(now: number, usualRatio: number): number {
		if (this.#samples < leastLatencySamples) {
			return 1;
		}

		const forgiven = 0.5 ** ((now - this.#sampledAt) / forgivenessMilliseconds);
		const slowness = 1 + (((this.#latencyRatio / usualRatio) - 1) * forgiven);
		return Math.min(mostSlowness, Math.max(1, slowness));
	}

	/** Urgent requests that this instance sent there lately. */
	urgentSendsAt(now: number): number {
		return this.#urgentSends * (0.5 ** ((now - this.#urgentSendsAt) / urgentMemoryMilliseconds));
	}

	/** True while failures keep the endpoint out. One probe goes through each time that the circuit's time is over. */
	isOpen(now: number): boolean {
		return now < this.#openUntil;
	}

	sent(request: RouteRequest, sent: SentRequest): void {
		this.underWay++;
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

	/** Takes a first token and gives how its time compares with what was expected. */
	firstToken(requestId: string, afterMilliseconds: number, now: number): number {
		const sent = this.#sent.get(requestId);
		this.#sent.delete(requestId);
		if (sent === undefined) {
			return 1;
		}

		const ratio = Math.max(leastExpectedMilliseconds, afterMilliseconds - sent.fetched) / Math.max(leastExpectedMilliseconds, sent.expected);
		this.#latencyRatio += latencyWeight * (Math.min(ratio, 2 * mostSlowness) - this.#latencyRatio);
		this.#samples++;
		this.#sampledAt = now;
		return ratio;
	}

	ended(requestId: string, outcome: 'whole' | 'failed' | 'cancelled', now: number): void {
		this.underWay--;
		this.#sent.delete(requestId);
		if (outcome === 'whole') {
			this.#failures = 0;
		} else if (outcome === 'failed') {
			this.#failures++;
			this.#openUntil = now + Math.min(longestCircuitMilliseconds, firstCircuitMilliseconds * (2 ** (this.#failures - 1)));
		}
	}
}
