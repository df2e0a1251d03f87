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
import {hashOf} from '../../shared/hash-of.js';
import {spreadRetry} from '../limits/spread-retry.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {admitsPrompt} from './admit-prompt.js';
import {
	addLoads, type EndpointLoad, isSilent, noLoad, unreadAhead, unreadBefore,
} from './endpoint-load.js';
import {EndpointMemories, incarnationOf} from './endpoint-memories.js';
import {fetchTokensPerMillisecond} from './fetch-speed.js';
import {homeOf} from './home-of.js';
import {beginsInGrant, isBehind} from './older-weights.js';
import {
	type OthersAt, type Placement, type PlacementBasis, type PlacementEvent, type PlacementPolicy, type PlacementRequest,
} from './placement.js';
import {promptWork, type PromptWork} from './prompt-work.js';

/** Reading parts again takes an engine's time from all others there; its own caller waits for it once, others as well. */
const rereadWeight = 3;
/**
 * Part of the cost of reading a part that nobody keeps, by which its home is preferred. Callers of one part come within
 * milliseconds of each other; the one who finds the part kept saves all of that cost, so half of it is worth waiting for.
 */
const coldHomeShare = 0.5;
/**
 * What was sent to an engine is taken for kept this long before the engine's own events have to say so: reading the longest
 * prompt, the events' delay, and two questions to the hub.
 */
const sentLifeMilliseconds = 1000;
/** One running request slows the tokens of the others by about a tenth of a millisecond a step, over some dozens of steps. */
const runningMilliseconds = 3;
/** A waiting request stands for a full engine: a slot comes free after about the time of a short answer. */
const waitingMilliseconds = 200;
/** A call to a plain service takes a slot for tens of milliseconds; each one ahead is weighed like one of those. */
const callMilliseconds = 40;
/** A round trip between data centres, and the price of bytes that cross. */
const otherDataCentreMilliseconds = 6;
/**
 * Weighed against an engine whose weights were replaced by newer ones: an answer on them is worth a fifth less, about as
 * much as this delay costs a prompt with a short objective.
 */
const oldWeightsMilliseconds = 150;
/** When to come back if no endpoint is known, or all are left alone: the time of a heartbeat or two. */
const noEndpointRetryMilliseconds = 800;
/** When to come back to a service that is full: some slots come free in this time. */
const overloadRetryMilliseconds = 600;
/** Callers do not wait longer than a third of the time that they have left; more would be for nothing. */
const longestOverloadRetryMilliseconds = 2500;
/** A service counts as full when each of its endpoints has this multiple of its slots running or waiting. */
const fullShare = 2;

const hashRange = 2 ** 32;

const noWork: PromptWork = {keptTokens: 0, fetchTokens: 0, readTokens: 0};

/**
 * Where the hub is far away or silent, what instances know of each other's work is some hundred milliseconds old. Many that
 * choose the best engine by the same old news choose the same one, and its memory runs over; so costs that differ by less
 * than this are taken for equal, and the request's id decides. About what one long prompt adds to an engine's cost.
 */
const staleNewsMilliseconds = 80;

type Candidate = {endpoint: EndpointRecord; isAdmitted: boolean; basis: PlacementBasis};

export class CostPlacement implements PlacementPolicy {
	readonly #dataCentre: string;
	readonly #othersAt: OthersAt;
	readonly #memories = new EndpointMemories();
	readonly #unreachable = new Map<string, EndpointRecord>();

	/**
	 * @param dataCentre - Where this instance stands.
	 * @param othersAt - What the other instances have under way.
	 */
	constructor(dataCentre: string, othersAt: OthersAt = () => undefined) {
		this.#dataCentre = dataCentre;
		this.#othersAt = othersAt;
	}

	/** What this instance has under way, by endpoint. */
	ownLoads(now: number): Map<string, EndpointLoad> {
		return this.#memories.loadsAt(now);
	}

	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement {
		const untried = endpoints.filter(endpoint => !request.tried.has(endpoint.name) && beginsInGrant(request, endpoint, 0, now));
		const awake = untried.filter(endpoint => !isLoading(request, endpoint));
		const reached = awake.filter(endpoint => !this.#memories.outlookOf(endpoint).isUnreachable && !this.isSilent(endpoint, now));
		const closed = reached.filter(endpoint => !this.#memories.outlookOf(endpoint).isOpen(now));
		// With every endpoint left alone, the rest would be refused though one may be back; then all are tried.
		const inView = [closed, reached, awake, untried].find(({length}) => length > 0) ?? [];
		if (inView.length === 0) {
			return {kind: 'none', reason: 'no-endpoint', retryAfterMilliseconds: spreadRetry(noEndpointRetryMilliseconds, request.id)};
		}

		const home = request.prompt === undefined ? undefined : homeOf(request.prompt, request.cacheScope, inView);
		const candidates = inView
			.map(endpoint => this.#estimate(request, endpoint, endpoint === home, now))
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
					rank: request.rank, heldTokens: heldTokensOf(request), unreadTokens: this.#unreadTokensOf(request, event.basis), basis: event.basis,
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
		return isSilent(this.#loadAt(endpoint, now).load);
	}

	/** When a refused caller finds room again: when the least laden engine has read what lies before such a prompt. */
	#overloadRetry(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const waits = endpoints.map(endpoint => unreadBefore(this.#loadAt(endpoint, now).load, request.rank) / speed);
		const wait = Math.min(longestOverloadRetryMilliseconds, overloadRetryMilliseconds + Math.min(...waits));
		return spreadRetry(wait, request.id);
	}

	/** What all instances have under way at an endpoint, as far as known here. */
	#loadAt(endpoint: EndpointRecord, now: number): {load: EndpointLoad; isWhole: boolean} {
		const own = this.#memories.outlookOf(endpoint).loadAt(now);
		const others = this.#othersAt(endpoint.name, now);
		return {load: addLoads(own, others ?? noLoad), isWhole: others !== undefined};
	}

	#estimate(request: PlacementRequest, endpoint: EndpointRecord, isHome: boolean, now: number): Candidate {
		const {load, isWhole} = this.#loadAt(endpoint, now);
		const reported = isWhole ? undefined : this.#memories.outlookOf(endpoint).reportedOccupancy(now);
		const occupancy = Math.max(load.requests, reported ?? 0);
		const slots = Math.max(1, endpoint.slots);
		const distance = endpoint.dataCentre === this.#dataCentre ? 0 : otherDataCentreMilliseconds;
		const hasRoom = occupancy < fullShare * slots;
		if (request.prompt === undefined) {
			const costMilliseconds = (callMilliseconds * occupancy / slots) + distance;
			const basis = {
				...noWork, unreadBefore: undefined, occupancy, costMilliseconds,
			};
			return {endpoint, isAdmitted: hasRoom, basis};
		}

		const work = this.#workAt(request, endpoint, isHome, now);
		const occupied = (runningMilliseconds * occupancy) + (waitingMilliseconds * Math.max(0, occupancy - slots));
		const weights = isBehind(request, endpoint) ? oldWeightsMilliseconds : 0;
		const spread = staleNewsMilliseconds * hashOf(`${request.id}|${endpoint.name}`) / hashRange;
		const before = unreadAhead(load, request.rank, slots);
		const basis = {
			...work,
			unreadBefore: isWhole ? before : undefined,
			occupancy,
			costMilliseconds: this.#readingCost(request, work, {before, isHome}) + occupied + distance + weights + spread,
		};
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const wait = ((before + work.readTokens) / speed) + (work.fetchTokens / fetchTokensPerMillisecond(request.engine)) + (waitingMilliseconds * Math.max(0, occupancy - slots));
		const isAdmitted = hasRoom && beginsInGrant(request, endpoint, wait, now) && this.#admits(request, work.readTokens, isWhole ? load : undefined);
		return {endpoint, isAdmitted, basis};
	}

	/** What an engine has to read for a prompt; the time in which it fetches counts as well, since it reads no other meanwhile. */
	#unreadTokensOf(request: PlacementRequest, {readTokens, fetchTokens}: PromptWork): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		return Math.round(readTokens + (fetchTokens * speed / fetchTokensPerMillisecond(request.engine)));
	}

	/** What fetching, reading and waiting for the reading of others cost, in milliseconds; less at the home of unread parts. */
	#readingCost(request: PlacementRequest, work: PromptWork, {before, isHome}: {before: number; isHome: boolean}): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const reading = rereadWeight * work.readTokens / speed;
		const preference = isHome ? coldHomeShare * rereadWeight * unreadSharedTokens(request, work) / speed : 0;
		return reading + (work.fetchTokens / fetchTokensPerMillisecond(request.engine)) + (before / speed) - preference;
	}

	/** Without the other instances' work nothing can be said; the engine's own queue decides then. */
	#admits(request: PlacementRequest, readTokens: number, load: EndpointLoad | undefined): boolean {
		const capacityTokens = request.engine?.capacityTokens ?? 0;
		if (load === undefined || capacityTokens === 0) {
			return true;
		}

		return admitsPrompt({
			rank: request.rank, objectiveMilliseconds: request.objectiveMilliseconds, heldTokens: heldTokensOf(request), readTokens,
		}, load, {capacityTokens, tokensPerMillisecond: this.#memories.speedOf(request.service).tokensPerMillisecond});
	}

	/** What an engine would have to do for a prompt. */
	#workAt(request: PlacementRequest, endpoint: EndpointRecord, isHome: boolean, now: number): PromptWork {
		const {parts} = request.prompt!;
		const version = endpoint.weightVersions.get(request.prompt!.model);
		const fetchable = version === undefined ? [] : request.fetchableUnder(version);
		const kept = request.keptAt(endpoint);
		const sent = this.#memories.partsOf(endpoint, request.engine?.capacityTokens ?? 0);
		const scope = scopeAt(request, endpoint);
		const since = kept === undefined ? Number.NEGATIVE_INFINITY : now - sentLifeMilliseconds;
		const isPresumed = (index: number): boolean => isHome && kept === undefined && index < parts.length - 1;
		return promptWork(request.prompt!, {
			keptTokens: index => isPresumed(index) ? parts[index]!.tokens : Math.max(kept?.[index] ?? 0, sent.tokensOf(scope, parts[index]!, since)),
			isFetchable: index => fetchable[index] ?? false,
		});
	}
}

/** Shared tokens of a prompt that an engine would have to read. */
function unreadSharedTokens({prompt}: PlacementRequest, {readTokens}: PromptWork): number {
	return Math.max(0, readTokens - (prompt?.parts.at(-1)?.tokens ?? 0));
}

/** Memory that a prompt needs from its start to its end. */
function heldTokensOf({prompt}: PlacementRequest): number {
	return prompt === undefined ? 0 : prompt.promptTokens + prompt.mostOutputTokens;
}

/** Whether the engine loads weights; one that shows the named weights is done, whatever an old hint says. */
function isLoading(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	return request.loading.has(endpoint.name) && isBehind(request, endpoint);
}

/** Parts that were made under other weights are not found. */
function scopeAt({cacheScope, prompt}: PlacementRequest, {weightVersions}: EndpointRecord): string {
	return `${cacheScope}@${weightVersions.get(prompt?.model ?? '') ?? 0}`;
}
