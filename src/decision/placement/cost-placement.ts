/**
 * Places each request where it costs the least time, its own and that of others.
 *
 * Load it answers: prompts whose long shared parts return to any of many instances, quick questions among them, and
 * engines that crash or fill. Without it a returning prompt lands on an engine that does not keep its parts and they are
 * read again, which takes most of an engine's time: reading is what engines are busy with, not writing.
 *
 * What engines keep is known from their own events, as the hub passes them on, and from what was sent there just now. A
 * part that nobody keeps goes to its home, the first engine by rendezvous hash of its id: all instances name the same home,
 * so that callers who come together for one part do not have it read in several places. While nothing is known of an
 * engine, its home is presumed to keep a part. Another engine is taken when the wait is longer than reading the part again
 * elsewhere, with reading weighed for the time that it takes from others.
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

/** When to come back if no endpoint is known, or all are left alone: the time of a heartbeat or two. */
const noEndpointRetryMilliseconds = 800;
/** When to come back to a service that is full: some slots come free in this time. */
const overloadRetryMilliseconds = 600;
/** Callers do not wait longer than a third of the time that they have left; more would be for nothing. */
const longestOverloadRetryMilliseconds = 2500;

export class CostPlacement implements PlacementPolicy {
	readonly #dataCentre: string;
	readonly #memories = new EndpointMemories();
	readonly #estimates: CandidateEstimates;
	readonly #unreachable = new Map<string, EndpointRecord>();

	/**
	 * @param dataCentre - Where this instance stands.
	 * @param othersAt - What the other instances have under way.
	 */
	constructor(dataCentre: string, othersAt: OthersAt = () => undefined) {
		this.#dataCentre = dataCentre;
		this.#estimates = new CandidateEstimates(dataCentre, this.#memories, othersAt);
	}

	/** What this instance has under way, by endpoint. */
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
					this.#memories.partsOf(endpoint, request.engine?.capacityTokens ?? 0).learn(scopeAt(request, endpoint), request.prompt.parts, now);
				}

				break;
			}

			case 'answered': {
				const first = outlook.answered(request.id, event.load, now);
				// Alone in the reading and with nothing to fetch, the delay of the first token shows how fast the engine reads.
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

	/** The endpoints that could get a request now. */
	#inView(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): readonly EndpointRecord[] {
		const untried = endpoints.filter(endpoint => !request.tried.has(endpoint.name) && beginsInGrant(request, endpoint, 0, now));
		const awake = untried.filter(endpoint => !isLoading(request, endpoint));
		const reached = awake.filter(endpoint => !this.#memories.outlookOf(endpoint).isUnreachable && !this.isSilent(endpoint, now));
		const closed = reached.filter(endpoint => !this.#memories.outlookOf(endpoint).isOpen(now));
		// With every endpoint left alone, the rest would be refused though one may be back; then all are tried.
		return [closed, reached, awake, untried].find(({length}) => length > 0) ?? [];
	}

	/** When a refused caller finds room again: when the least laden engine has read what lies before such a prompt. */
	#overloadRetry(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const waits = endpoints.map(endpoint => unreadBefore(this.#estimates.loadAt(endpoint, now).load, request.rank) / speed);
		const wait = Math.min(longestOverloadRetryMilliseconds, overloadRetryMilliseconds + Math.min(...waits));
		return spreadRetry(wait, request.id);
	}
}

/** Whether the engine loads weights; one that shows the named weights is done, whatever an old hint says. */
function isLoading(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	return request.loading.has(endpoint.name) && isBehind(request, endpoint);
}
