/**
 * Routes by the expected time to first token.
 *
 * Prompts with long prefixes return to some of many endpoints, mixed with urgent questions, and load reports lag. For
 * each endpoint the policy adds up the wait before prefill (the reported backlog, corrected for what was sent since), the
 * prefill of what is not cached there, and the fetch over a store's link where that is cheaper. The endpoint with the
 * least sum is chosen. Otherwise a prompt would either go where its prefix is not cached and be recomputed, or follow its
 * prefix into a queue. A hot prefix is replicated without a rule of its own: once the wait at its endpoint is longer than
 * a fetch, the next endpoint gets it.
 *
 * Two rules prevent a herd after a stale report. Instances add what they sent themselves, and choices that are nearly
 * equal are decided by a hash of the prefix, so that all instances send a new prefix to the same endpoint and different
 * prefixes to different ones.
 */
import {type PriorityClass} from '../../shared/types.js';
import {spreadRetry} from '../limits/spread-retry.js';
import {type CachedPrefixes} from '../cache/cached-prefixes.js';
import {chooseNearlyEqual} from './choose-nearly-equal.js';
import {EndpointIndex} from './endpoint-index.js';
import {EndpointHistory} from './endpoint-history.js';
import {isCandidate} from './is-candidate.js';
import {type LinkEstimate} from './link-estimate.js';
import {
	type AttemptEvent, type EndpointView, type FetchPlan, type RouteChoice, type RouteRequest, type RoutingPolicy,
} from './routing-policy.js';

const noEndpointRetryMilliseconds = 2000;
const rankOf: Record<PriorityClass, number> = {urgent: 0, normal: 1, overnight: 2};

/** What a policy knows of its instance. */
export type RoutingSettings = {
	dataCentre: string;
	/** The stores and their links, by name. */
	links: ReadonlyMap<string, LinkEstimate>;
	blockTokens: number;
};

/**
 * Weight of the time for recomputing, in addition to the time to first token: it takes endpoint time that others wait
 * for. Urgent prompts weigh it little; non-urgent work weighs it in full, since it has time to go where its prefix is
 * cached.
 */
const recomputeWeight: Record<PriorityClass, number> = {urgent: 0.5, normal: 4, overnight: 6};
/**
 * Weight of the request's own time to first token. Overnight work has hours, so its own wait counts little against the
 * work that it causes.
 */
const latencyWeight: Record<PriorityClass, number> = {urgent: 1, normal: 1, overnight: 0.5};
/** Weight of the time that a fetch takes on the link, for the same reason: other fetches wait for it. */
const linkWeight: Record<PriorityClass, number> = {urgent: 0.3, normal: 3, overnight: 3};
/**
 * A long prefill makes every step longer for the requests that decode beside it, so their slots become free later.
 * Non-urgent work counts that against an endpoint for each request that runs there, and urgent work avoids an endpoint
 * that prefills for others. Together the two rules separate long prefill from urgent questions without fixed roles.
 */
const decodeInterferenceShare = 0.15;
const prefillingEndpointMilliseconds = 150;
/**
 * Cost of a new block of non-urgent work at an endpoint where urgent work has its prefixes: it evicts one of them, which
 * then has to be fetched or recomputed. Scaled by the endpoint's share of the urgent work, up to three times the mean.
 * Work with a deadline weighs it less: if it avoids too many endpoints, it crowds the others and is late.
 */
const evictedBlockMilliseconds: Record<PriorityClass, number> = {urgent: 0, normal: 200, overnight: 450};
const maxUrgentShare = 3;
/** Time of one step of a busy batch that an arriving prompt waits out, on average half of a chunk. */
const busyStepMilliseconds = 40;
/** Cost of each running request: it slows the step a little and holds memory. */
const runningMilliseconds = 2;
const otherDataCentreMilliseconds = 4;
const otherVersionMilliseconds = 60_000;
const defaultServiceMilliseconds = 3000;
const usualRatioWeight = 0.02;
const serviceTimeWeight = 0.05;
/** Number of sent prompt tokens over which the mix of classes is remembered, approximately. */
const mixMemoryTokens = 400_000;

/**
 * What is known of a prefix: the blocks cached at the endpoint and in the best store, and the mean urgent sends to a
 * candidate.
 */
type PrefixKnowledge = {cached: number; store: {name: string; blocks: number} | undefined; meanUrgentSends: number};
type Estimate = {endpoint: EndpointView; score: number; expected: number; prefillTokens: number; fetch?: FetchPlan};

export class ExpectedFirstTokenPolicy implements RoutingPolicy {
	readonly #prefixes: CachedPrefixes;
	readonly #settings: RoutingSettings;
	readonly #index = new EndpointIndex();
	readonly #histories = new Map<string, EndpointHistory>();
	readonly #chosen = new Map<string, Estimate>();
	readonly #sentAt = new Map<string, number>();
	readonly #classMix = [1, 1, 1];
	#usualRatio = 1;
	#serviceMilliseconds = defaultServiceMilliseconds;

	constructor(prefixes: CachedPrefixes, settings: RoutingSettings) {
		this.#prefixes = prefixes;
		this.#settings = settings;
	}

	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice {
		const cachedBlocks = this.#prefixes.leadingBlocks(request.pieceKeys);
		const sampled = this.#index.candidatesFor(request, endpoints, cachedBlocks).filter(endpoint => isCandidate(endpoint, request, now));
		// A sample may contain only leaving endpoints while others are live; the request would be refused for no reason.
		const considered = sampled.length === 0 ? endpoints.filter(endpoint => isCandidate(endpoint, request, now)) : sampled;
		const healthy = considered.filter(endpoint => !this.#historyOf(endpoint.name).isCircuitOpen(now));
		// If every circuit is open, all endpoints are tried; otherwise the circuit breakers would turn a short outage
		// into refusals.
		const candidates = healthy.length === 0 ? considered : healthy;
		const store = this.#bestStore(cachedBlocks);
		const meanUrgentSends = this.#meanUrgentSends(request, candidates, now);
		const estimates = candidates.map(endpoint => this.#estimate(request, endpoint, {cached: cachedBlocks.get(endpoint.name) ?? 0, store, meanUrgentSends}, now));
		const best = chooseNearlyEqual(estimates, request);
		if (best === undefined) {
			return {kind: 'none', retryAfterMilliseconds: spreadRetry(noEndpointRetryMilliseconds, request.requestId)};
		}

		this.#chosen.set(request.requestId, best);
		const {endpoint, fetch} = best;
		return fetch === undefined ? {kind: 'send', endpoint} : {kind: 'send', endpoint, fetch};
	}

	observe(event: AttemptEvent, now: number): void {
		const history = this.#historyOf(event.endpoint);
		switch (event.kind) {
			case 'sent': {
				this.#sent(event.request, history, now);
				break;
			}

			case 'fetched': {
				this.#settings.links.get(event.store)?.observe(event.pieces, event.linkMilliseconds, now);
				this.#prefixes.remove(event.store, event.pieceKeys.slice(event.pieces));
				this.#prefixes.add(event.endpoint, event.pieceKeys.slice(0, event.pieces));
				history.fetched(event.requestId, event.afterMilliseconds);
				break;
			}

			case 'first-token': {
				this.#prefixes.add(event.endpoint, event.request.pieceKeys);
				const ratio = history.firstToken(event.request.requestId, event.afterMilliseconds, now);
				this.#usualRatio += usualRatioWeight * (Math.min(ratio, 4) - this.#usualRatio);
				break;
			}

			case 'ended': {
				history.ended(event.request.requestId, event.outcome, now);
				this.#ended(event, now);
				break;
			}
		}
	}

	#sent(request: RouteRequest, history: EndpointHistory, now: number): void {
		const estimate = this.#chosen.get(request.requestId);
		this.#chosen.delete(request.requestId);
		const rank = rankOf[request.priority];
		const tokens = estimate?.prefillTokens ?? request.promptTokens;
		history.sent(request, {
			at: now, tokens, rank, expected: estimate?.expected ?? 0, fetched: 0,
		});
		this.#sentAt.set(request.requestId, now);
		this.#classMix[rank]! += tokens;
		if (this.#classMix.reduce((sum, tokens) => sum + tokens, 0) > mixMemoryTokens) {
			for (const index of this.#classMix.keys()) {
				this.#classMix[index]! /= 2;
			}
		}
	}

	#ended(event: AttemptEvent & {kind: 'ended'}, now: number): void {
		const {request, endpoint, outcome, cachedTokens} = event;
		const sentAt = this.#sentAt.get(request.requestId);
		this.#sentAt.delete(request.requestId);
		if (outcome === 'whole') {
			this.#serviceMilliseconds += serviceTimeWeight * (now - (sentAt ?? now) - this.#serviceMilliseconds);
			this.#prefixes.add(endpoint, request.pieceKeys);
		} else if (outcome === 'failed' && cachedTokens === 0) {
			// A crashed engine restarts with an empty cache. If its blocks still counted as cached, its prompts would be
			// sent there.
			this.#prefixes.remove(endpoint, request.pieceKeys);
		}
	}

	#estimate(request: RouteRequest, endpoint: EndpointView, known: PrefixKnowledge, now: number): Estimate {
		const {blockTokens} = this.#settings;
		const rate = Math.max(1, endpoint.load?.prefillTokensPerSecond ?? 1000);
		const slowness = this.#historyOf(endpoint.name).slownessAt(now, this.#usualRatio);
		const wait = this.#waitAt(request, endpoint, rate, now) * slowness;
		const fixed = (endpoint.dataCentre === this.#settings.dataCentre ? 0 : otherDataCentreMilliseconds)
			+ (endpoint.weightVersion === request.weightVersion ? 0 : otherVersionMilliseconds);
		const eviction = this.#evictionCost(request, endpoint, known, now);
		const option = (blocks: number, fetchMilliseconds: number, linkMilliseconds: number): Estimate => {
			const prefillTokens = Math.max(1, request.promptTokens - (blocks * blockTokens));
			const prefill = 1000 * prefillTokens / rate * slowness;
			const expected = Math.max(wait, fetchMilliseconds) + prefill + fixed;
			const score = (latencyWeight[request.priority] * expected)
				+ (recomputeWeight[request.priority] * prefill)
				+ (linkWeight[request.priority] * linkMilliseconds)
				+ this.#interferenceCost(request, endpoint, prefill)
				+ eviction;
			return {
				endpoint, score, expected: wait + prefill + fixed, prefillTokens,
			};
		};

		const recompute = option(known.cached, 0, 0);
		const {store} = known;
		if (store === undefined || store.blocks <= known.cached) {
			return recompute;
		}

		const link = this.#settings.links.get(store.name)!;
		const blocksToFetch = store.blocks - known.cached;
		const fetched = option(store.blocks, link.fetchMilliseconds(blocksToFetch, now), blocksToFetch * link.idleMilliseconds);
		return fetched.score >= recompute.score
			? recompute
			: {...fetched, fetch: {store: store.name, pieceKeys: request.pieceKeys.slice(known.cached, store.blocks)}};
	}

	#interferenceCost(request: RouteRequest, {load}: EndpointView, prefillMilliseconds: number): number {
		if (request.priority === 'urgent') {
			return (load?.waitingPrefillTokens ?? 0) > this.#settings.blockTokens ? prefillingEndpointMilliseconds : 0;
		}

		return decodeInterferenceShare * prefillMilliseconds * (load?.runningRequests ?? 0);
	}

	/** Cost of the blocks that non-urgent work would evict, by how much urgent work has its prefixes at the endpoint. */
	#evictionCost({priority, pieceKeys}: RouteRequest, endpoint: EndpointView, {cached, meanUrgentSends}: PrefixKnowledge, now: number): number {
		if (priority === 'urgent' || meanUrgentSends === 0) {
			return 0;
		}

		const share = Math.min(maxUrgentShare, this.#historyOf(endpoint.name).urgentSendsAt(now) / meanUrgentSends);
		return (pieceKeys.length - cached) * evictedBlockMilliseconds[priority] * share;
	}

	#meanUrgentSends({priority}: RouteRequest, candidates: readonly EndpointView[], now: number): number {
		if (priority === 'urgent') {
			return 0;
		}

		let sends = 0;
		for (const {name} of candidates) {
			sends += this.#historyOf(name).urgentSendsAt(now);
		}

		return sends / Math.max(1, candidates.length);
	}

	/** Milliseconds before the endpoint begins to prefill this request. */
	#waitAt(request: RouteRequest, endpoint: EndpointView, rate: number, now: number): number {
		const {load} = endpoint;
		if (load === undefined) {
			return this.#historyOf(endpoint.name).inFlight * defaultServiceMilliseconds;
		}

		const rank = rankOf[request.priority];
		const since = this.#historyOf(endpoint.name).sentSince(endpoint, rank);
		const mixTotal = this.#classMix.reduce((sum, tokens) => sum + tokens, 0);
		const before = this.#classMix.slice(0, rank + 1).reduce((sum, tokens) => sum + tokens, 0) / mixTotal;
		const drained = Math.max(0, now - endpoint.heardAt) * rate / 1000;
		const backlog = Math.max(0, (load.waitingPrefillTokens * before) - (drained * before)) + since.tokens;
		const over = load.runningRequests + load.waitingRequests + since.requests - load.batchLimit;
		const slot = over < 0 ? 0 : (over + 1) * this.#serviceMilliseconds / Math.max(1, load.batchLimit);
		const busy = load.waitingPrefillTokens > 0 || since.requests > 0 ? busyStepMilliseconds : 0;
		return Math.max(1000 * backlog / rate, slot) + busy + (load.runningRequests * runningMilliseconds);
	}

	#bestStore(cachedBlocks: ReadonlyMap<string, number>): {name: string; blocks: number} | undefined {
		let best: {name: string; blocks: number} | undefined;
		for (const name of this.#settings.links.keys()) {
			const blocks = cachedBlocks.get(name) ?? 0;
			if (blocks > (best?.blocks ?? 0)) {
				best = {name, blocks};
			}
		}

		return best;
	}

	#historyOf(name: string): EndpointHistory {
		let history = this.#histories.get(name);
		if (history === undefined) {
			history = new EndpointHistory();
			this.#histories.set(name, history);
		}

		return history;
	}
}
