/**
 * Places each request on the endpoint where it costs the least time, counting its own time and the time it takes from
 * others.
 *
 * Prompts with long shared blocks return to any of many instances, mixed with short urgent prompts, while engines crash
 * or fill up. Placed without regard to caches, a returning prompt reaches an engine that has not cached its blocks, and
 * they are prefilled again. Prefill, not decoding, takes most of an engine's time.
 *
 * What engines have cached is known from their own cache events, relayed by the coordinator, and from what was sent to
 * them within the last second. A block that no engine has cached is prefilled by its owner, the first engine by
 * rendezvous hash of the block's id. All instances compute the same owner, so callers that arrive together for one block
 * do not have it prefilled in several places. While nothing is known of an engine's cache, the owner is presumed to have
 * the block. Another engine is chosen when the wait at the owner is longer than a second prefill elsewhere, where prefill
 * is weighted for the time that it takes from others.
 */
import {type ConnectionPreference} from '../connections/connection-preference.js';
import {ObservedPaces} from '../pace/observed-paces.js';
import {paceFactorOf} from '../pace/pace-model.js';
import {type PaceReport} from '../pace/pace-report.js';
import {spreadRetry} from '../limits/spread-retry.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {CandidateEstimator, heldTokensOf, cacheScopeAt} from './candidate-estimator.js';
import {
	type EndpointLoad, isUnresponsive, unresponsiveOwnViewMilliseconds, unresponsiveMilliseconds, prefillTokensUpTo,
} from './endpoint-load.js';
import {PlacementState} from './placement-state.js';
import {ownersOf} from './prompt-owners.js';
import {mayStartOnWeights, hasOlderWeights} from './older-weights.js';
import {
	type OtherInstancesLoad, type Placement, type PlacementEvent, type PlacementPolicy, type PlacementRequest,
} from './placement.js';
import {shortlist} from './shortlist.js';

/** Retry delay if no endpoint may get the request: one or two heartbeats. */
const noEndpointRetryMilliseconds = 800;
/** Shortest retry delay of a full service: some slots become free in this time. */
const usualOverloadRetryMilliseconds = 600;
/**
 * The same where bursts of some seconds fill the engines. A prompt that was refused is late in any case; one that returns within the
 * burst is refused a second time, and most callers do not try a third time.
 */
export const burstRetryMilliseconds = 2500;
/** Longest retry delay. Callers wait for at most a third of the time that they have left, so a longer one is useless. */
const maxOverloadRetryMilliseconds = 2500;

/** An endpoint that is silent for so many times the usual time of a first byte has stopped. */
const unusualFactor = 2.5;

/** Reasons against sending a request to an endpoint; the one with the largest number is lifted last. */
const exclusions = {
	none: 0, circuitOpen: 1, unresponsive: 2, loading: 3,
} as const;

export class CostPlacement implements PlacementPolicy {
	readonly #dataCentre: string;
	readonly #state = new PlacementState();
	readonly #estimator: CandidateEstimator;
	readonly #loadOfOthers: OtherInstancesLoad;
	readonly #connections: ConnectionPreference | undefined;
	readonly #overloadRetryMilliseconds: number;
	readonly #observedPaces = new ObservedPaces();
	readonly #unreachable = new Map<string, EndpointRecord>();

	/**
	 * @param dataCentre - Data centre of this instance.
	 * @param loadOfOthers - Gives the load of the other instances.
	 * @param connections - Prefers endpoints with an idle connection; absent where connections do not count.
	 * @param overloadRetryMilliseconds - Shortest retry delay of a full service.
	 */
	constructor(dataCentre: string, loadOfOthers: OtherInstancesLoad = () => undefined, connections?: ConnectionPreference, overloadRetryMilliseconds = usualOverloadRetryMilliseconds) {
		this.#overloadRetryMilliseconds = overloadRetryMilliseconds;
		this.#dataCentre = dataCentre;
		this.#loadOfOthers = loadOfOthers;
		this.#connections = connections;
		this.#estimator = new CandidateEstimator(dataCentre, this.#state, {loadOfOthers, connections});
	}

	/** The load of this instance, by endpoint. */
	ownLoads(now: number): Map<string, EndpointLoad> {
		return this.#state.loadsAt(now);
	}

	shortlist(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number, sample: number): EndpointRecord[] {
		this.#connections?.noteEndpoints(request.service, endpoints.length);
		return shortlist(request, this.#eligible(request, endpoints, now), {
			dataCentre: this.#dataCentre, sample, hasIdleConnection: this.#connections?.drawCheck(request.service, now),
		});
	}

	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement {
		const eligible = this.#eligible(request, endpoints, now);
		if (eligible.length === 0) {
			return {kind: 'none', reason: 'no-endpoint', retryAfterMilliseconds: spreadRetry(noEndpointRetryMilliseconds, request.id)};
		}

		const [owner] = request.prompt === undefined ? [] : ownersOf(request.prompt, request.cacheScope, eligible, 1);
		const candidates = eligible
			.map(endpoint => this.#estimator.estimate(request, endpoint, endpoint === owner, now))
			.filter(({isAdmitted}) => isAdmitted);
		const [first, ...others] = candidates;
		if (first === undefined) {
			return {kind: 'none', reason: 'overloaded', retryAfterMilliseconds: this.#overloadRetryDelay(request, eligible, now)};
		}

		let best = first;
		for (const candidate of others) {
			best = candidate.basis.costMilliseconds < best.basis.costMilliseconds ? candidate : best;
		}

		return this.#estimator.withPace(this.#connections?.choose(best, candidates) ?? best, candidates, now);
	}

	notePace(endpoint: EndpointRecord, pacePercent: number, now: number): void {
		this.#state.notePace(endpoint, pacePercent, now);
		this.#observedPaces.add(endpoint, 100 * paceFactorOf(pacePercent), now);
	}

	/** Records a figure that another instance has read at a time of this instance's steady clock. */
	notePeerPace(endpoint: EndpointRecord, pacePercent: number, at: number): void {
		this.#state.notePace(endpoint, pacePercent, at);
	}

	/** The figures that this instance has read since a position, and the new position. */
	pacesAfter(position: number, now: number): {paces: PaceReport[]; position: number} {
		return this.#observedPaces.after(position, now);
	}

	prefillMilliseconds(service: string, tokens: number): number {
		return tokens / this.#state.prefillSpeedOf(service).tokensPerMillisecond;
	}

	meanPaceOf(service: string): number | undefined {
		return this.#state.paceModelOf(service)?.mean;
	}

	silenceFactor(endpoint: EndpointRecord, now: number): number {
		return Math.max(1, this.#estimator.paceOver(endpoint, now - this.idleMilliseconds(endpoint, now), now));
	}

	observe(event: PlacementEvent, now: number): void {
		const {request, endpoint} = event;
		const tracker = this.#state.trackerOf(endpoint);
		switch (event.kind) {
			case 'sent': {
				this.#connections?.noteSent(endpoint, now);
				tracker.sent(request.id, {
					rank: request.rank, heldTokens: heldTokensOf(request), unreadTokens: this.#estimator.prefillEquivalentTokens(request, event.basis), basis: event.basis,
				}, now);
				if (request.prompt !== undefined) {
					this.#state.prefixCacheOf(endpoint, request.engine?.capacityTokens ?? 0).add(cacheScopeAt(request, endpoint), request.prompt.blocks, now);
				}

				break;
			}

			case 'answered': {
				const first = tracker.answered(request.id, event.load, now);
				if (first !== undefined) {
					this.#state.firstByteTimesOf(request.service).observe(first.milliseconds);
				}

				// With no prefill ahead and nothing to fetch, the delay of the first token shows how fast the engine
				// prefills.
				if (request.prompt !== undefined && first?.basis.unreadBefore === 0 && first.basis.fetchTokens === 0) {
					this.#state.prefillSpeedOf(request.service).observe(first.basis.readTokens, first.milliseconds, this.#estimator.paceOver(endpoint, now - first.milliseconds, now));
				}

				break;
			}

			case 'ended': {
				tracker.ended(request.id);
				if (event.outcome === 'failed' || event.outcome === 'unreachable') {
					tracker.failed(now);
				}

				if (event.outcome === 'unreachable') {
					this.noteUnreachable(endpoint, now);
				}

				break;
			}
		}
	}

	unreachable(): EndpointRecord[] {
		return [...this.#unreachable.values()].filter(endpoint => this.#state.trackerOf(endpoint).isUnreachable);
	}

	noteUnreachable(endpoint: EndpointRecord, now: number): void {
		this.#state.trackerOf(endpoint).unreachable(now);
		this.#unreachable.set(incarnationOf(endpoint), endpoint);
	}

	dueProbes(now: number): EndpointRecord[] {
		return this.unreachable().filter(endpoint => this.#state.trackerOf(endpoint).isProbeDue(now));
	}

	noteProbe(endpoint: EndpointRecord, isReached: boolean, now: number): void {
		this.#state.trackerOf(endpoint).probed(isReached, now);
		if (isReached) {
			this.#unreachable.delete(incarnationOf(endpoint));
		}
	}

	noteNewPath(endpoint: EndpointRecord): void {
		this.#unreachable.delete(incarnationOf(endpoint));
		this.#state.trackerOf(endpoint).forgetFailures();
	}

	forget(endpoint: EndpointRecord): void {
		this.#unreachable.delete(incarnationOf(endpoint));
		this.#state.forget(endpoint);
	}

	received(endpoint: EndpointRecord, now: number): void {
		this.#state.trackerOf(endpoint).received(now);
	}

	isSilent(endpoint: EndpointRecord, now: number): boolean {
		return this.#isSilentFor(endpoint, 0, now);
	}

	isUnresponsive(endpoint: EndpointRecord, now: number): boolean {
		return this.#isSilentFor(endpoint, unusualFactor * this.#state.firstByteTimesOf(endpoint.service).usualMilliseconds, now);
	}

	noteUnanswered(endpoint: EndpointRecord, waitedMilliseconds: number): void {
		this.#state.firstByteTimesOf(endpoint.service).observe(waitedMilliseconds);
	}

	idleMilliseconds(endpoint: EndpointRecord, now: number): number {
		const others = this.#loadOfOthers(endpoint.name, now);
		return Math.min(this.#state.trackerOf(endpoint).lastByteAgoMilliseconds(now), others?.lastByteAgoMilliseconds ?? Number.POSITIVE_INFINITY);
	}

	/** Whether an endpoint is unresponsive by the load of all instances. Each placement asks for every endpoint, so whole loads are not summed. */
	#isSilentFor(endpoint: EndpointRecord, minMilliseconds: number, now: number): boolean {
		const tracker = this.#state.trackerOf(endpoint);
		const lastByteAgo = tracker.lastByteAgoMilliseconds(now);
		if (lastByteAgo <= unresponsiveMilliseconds) {
			return false;
		}

		const others = this.#loadOfOthers(endpoint.name, now);
		const limit = Math.max(minMilliseconds, others === undefined ? unresponsiveOwnViewMilliseconds : unresponsiveMilliseconds);
		const silence = {
			oldestWaitMilliseconds: Math.max(tracker.oldestWaitMilliseconds(now), others?.oldestWaitMilliseconds ?? 0),
			lastByteAgoMilliseconds: Math.min(lastByteAgo, others?.lastByteAgoMilliseconds ?? Number.POSITIVE_INFINITY),
		};
		// A slow endpoint has not failed. The factor is needed only for the few that exceed the usual limit.
		return isUnresponsive(silence, limit) && isUnresponsive(silence, limit * this.silenceFactor(endpoint, now));
	}

	/**
	 * The endpoints that may get a request now: those without a reason against them. If there are none, the exclusions are lifted
	 * one by one: the request would be refused although an endpoint may have recovered.
	 */
	#eligible(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): readonly EndpointRecord[] {
		const {attempted, prompt, wantedVersion} = request;
		const mayHaveOlderWeights = prompt !== undefined && wantedVersion !== undefined;
		let eligible: EndpointRecord[] = [];
		let least = Number.POSITIVE_INFINITY;
		for (const endpoint of endpoints) {
			if (attempted.has(endpoint.name) || (mayHaveOlderWeights && !mayStartOnWeights(request, endpoint, 0, now))) {
				continue;
			}

			const exclusion = mayHaveOlderWeights && isLoading(request, endpoint) ? exclusions.loading : this.#exclusionOf(endpoint, now);
			if (exclusion < least) {
				least = exclusion;
				eligible = [];
			}

			if (exclusion === least) {
				eligible.push(endpoint);
			}
		}

		return eligible;
	}

	#exclusionOf(endpoint: EndpointRecord, now: number): number {
		const tracker = this.#state.trackerOf(endpoint);
		if (tracker.isUnreachable || this.isSilent(endpoint, now)) {
			return exclusions.unresponsive;
		}

		return tracker.isCircuitOpen(now) ? exclusions.circuitOpen : exclusions.none;
	}

	/** Retry delay of a refused caller: until the least loaded engine has prefilled what is ahead of such a prompt. */
	#overloadRetryDelay(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): number {
		const speed = this.#state.prefillSpeedOf(request.service).tokensPerMillisecond;
		const waits = endpoints.map(endpoint => prefillTokensUpTo(this.#estimator.loadAt(endpoint, now).load, request.rank) / speed);
		const wait = Math.min(maxOverloadRetryMilliseconds, this.#overloadRetryMilliseconds + Math.min(...waits));
		return spreadRetry(wait, request.id);
	}
}

/**
 * Whether the engine is loading weights. One that reports the wanted version is done, even if an older hint says
 * otherwise.
 */
function isLoading(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	return request.loading.has(endpoint.name) && hasOlderWeights(request, endpoint);
}
