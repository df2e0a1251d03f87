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
import {spreadRetry} from '../limits/spread-retry.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {CandidateEstimates, heldTokensOf, scopeAt} from './candidate-estimates.js';
import {
	type EndpointLoad, isSilent, lonelySilenceMilliseconds, silenceMilliseconds, unreadBefore,
} from './endpoint-load.js';
import {EndpointMemories} from './endpoint-memories.js';
import {homesOf} from './home-of.js';
import {beginsInGrant, isBehind} from './older-weights.js';
import {
	type OthersAt, type Placement, type PlacementEvent, type PlacementPolicy, type PlacementRequest,
} from './placement.js';
import {shortlist} from './shortlist.js';

/** Retry delay if no endpoint may get the request: one or two heartbeats. */
const noEndpointRetryMilliseconds = 800;
/** Shortest retry delay of a full service: some slots become free in this time. */
const overloadRetryMilliseconds = 600;
/** Longest retry delay. Callers wait for at most a third of the time that they have left, so a longer one is useless. */
const longestOverloadRetryMilliseconds = 2500;

export class CostPlacement implements PlacementPolicy {
	readonly #dataCentre: string;
	readonly #memories = new EndpointMemories();
	readonly #estimates: CandidateEstimates;
	readonly #unreachable = new Map<string, EndpointRecord>();

	/**
	 * @param dataCentre - Data centre of this instance.
	 * @param othersAt - Gives the load of the other instances.
	 */
	constructor(dataCentre: string, othersAt: OthersAt = () => undefined) {
		this.#dataCentre = dataCentre;
		this.#estimates = new CandidateEstimates(dataCentre, this.#memories, othersAt);
	}

	/** The load of this instance, by endpoint. */
	ownLoads(now: number): Map<string, EndpointLoad> {
		return this.#memories.loadsAt(now);
	}

	choices(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number, sample: number): EndpointRecord[] {
		return shortlist(request, this.#inView(request, endpoints, now), this.#dataCentre, sample);
	}

	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement {
		const inView = this.#inView(request, endpoints, now);
		if (inView.length === 0) {
			return {kind: 'none', reason: 'no-endpoint', retryAfterMilliseconds: spreadRetry(noEndpointRetryMilliseconds, request.id)};
		}

		const [home] = request.prompt === undefined ? [] : homesOf(request.prompt, request.cacheScope, inView, 1);
		const candidates = inView
			.map(endpoint => this.#estimates.estimate(request, endpoint, endpoint === home, now))
			.filter(({isAdmitted}) => isAdmitted);
		const [first, ...others] = candidates;
		if (first === undefined) {
			return {kind: 'none', reason: 'overloaded', retryAfterMilliseconds: this.#overloadRetry(request, inView, now)};
		}

		let best = first;
		for (const candidate of others) {
			best = candidate.basis.costMilliseconds < best.basis.costMilliseconds ? candidate : best;
		}

		return {kind: 'send', endpoint: best.endpoint, basis: best.basis};
	}

	observe(event: PlacementEvent, now: number): void {
		const {request, endpoint} = event;
		const outlook = this.#memories.outlookOf(endpoint);
		switch (event.kind) {
			case 'sent': {
				outlook.sent(request.id, {
					rank: request.rank, heldTokens: heldTokensOf(request), unreadTokens: this.#estimates.unreadTokensOf(request, endpoint, event.basis), basis: event.basis,
				}, now);
				if (request.prompt !== undefined) {
					this.#memories.partsOf(endpoint, request.engine?.capacityTokens ?? 0).learn(scopeAt(request, endpoint), request.prompt.blocks, now);
				}

				break;
			}

			case 'answered': {
				const first = outlook.answered(request.id, event.load, now);
				// With no prefill ahead and nothing to fetch, the delay of the first token shows how fast the engine
				// prefills.
				if (request.prompt !== undefined && first?.basis.unreadBefore === 0 && first.basis.fetchTokens === 0) {
					this.#memories.speedOf(request.service).observe(first.basis.readTokens, first.milliseconds);
				}

				break;
			}

			case 'ended': {
				outlook.ended(request.id);
				if (event.outcome === 'failed' || event.outcome === 'unreachable') {
					outlook.failed(now);
				}

				if (event.outcome === 'unreachable') {
					outlook.unreachable(now);
					this.#unreachable.set(incarnationOf(endpoint), endpoint);
				}

				break;
			}
		}
	}

	dueProbes(now: number): EndpointRecord[] {
		return [...this.#unreachable.values()].filter(endpoint => this.#memories.outlookOf(endpoint).isProbeDue(now));
	}

	probed(endpoint: EndpointRecord, isReached: boolean, now: number): void {
		this.#memories.outlookOf(endpoint).probed(isReached, now);
		if (isReached) {
			this.#unreachable.delete(incarnationOf(endpoint));
		}
	}

	forget(endpoint: EndpointRecord): void {
		this.#unreachable.delete(incarnationOf(endpoint));
		this.#memories.forget(endpoint);
	}

	heard(endpoint: EndpointRecord, now: number): void {
		this.#memories.outlookOf(endpoint).heard(now);
	}

	isSilent(endpoint: EndpointRecord, now: number): boolean {
		const {load, isWhole} = this.#estimates.loadAt(endpoint, now);
		return isSilent(load, isWhole ? silenceMilliseconds : lonelySilenceMilliseconds);
	}

	idleMilliseconds(endpoint: EndpointRecord, now: number): number {
		return this.#estimates.loadAt(endpoint, now).load.heardAgoMilliseconds;
	}

	/** The endpoints that may get a request now. */
	#inView(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): readonly EndpointRecord[] {
		const untried = endpoints.filter(endpoint => !request.tried.has(endpoint.name) && beginsInGrant(request, endpoint, 0, now));
		const awake = untried.filter(endpoint => !isLoading(request, endpoint));
		const reached = awake.filter(endpoint => !this.#memories.outlookOf(endpoint).isUnreachable && !this.isSilent(endpoint, now));
		const closed = reached.filter(endpoint => !this.#memories.outlookOf(endpoint).isOpen(now));
		// If this leaves no endpoint, the exclusions are lifted one by one: the request would be refused although an
		// endpoint may have recovered.
		return [closed, reached, awake, untried].find(({length}) => length > 0) ?? [];
	}

	/** Retry delay of a refused caller: until the least loaded engine has prefilled what is ahead of such a prompt. */
	#overloadRetry(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const waits = endpoints.map(endpoint => unreadBefore(this.#estimates.loadAt(endpoint, now).load, request.rank) / speed);
		const wait = Math.min(longestOverloadRetryMilliseconds, overloadRetryMilliseconds + Math.min(...waits));
		return spreadRetry(wait, request.id);
	}
}

/**
 * Whether the engine is loading weights. One that reports the wanted version is done, even if an older hint says
 * otherwise.
 */
function isLoading(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	return request.loading.has(endpoint.name) && isBehind(request, endpoint);
}
