/**
 * What it would cost to place a request at an endpoint, and whether the endpoint still takes it: out of what it has to read
 * and fetch for the request, what lies before that, and how far away it is. Costs are in milliseconds.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {admitsPrompt} from './admit-prompt.js';
import {addLoads, type EndpointLoad, unreadAhead} from './endpoint-load.js';
import {type EndpointMemories} from './endpoint-memories.js';
import {fetchTokensPerMillisecond} from './fetch-speed.js';
import {beginsInGrant, isBehind} from './older-weights.js';
import {type OthersAt, type PlacementBasis, type PlacementRequest} from './placement.js';
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
/** A service counts as full when each of its endpoints has this multiple of its slots running or waiting. */
const fullShare = 2;
/**
 * Where the hub is far away or silent, what instances know of each other's work is some hundred milliseconds old. Many that
 * choose the best engine by the same old news choose the same one, and its memory runs over; so costs that differ by less
 * than this are taken for equal, and the request's id decides. About what one long prompt adds to an engine's cost.
 */
const staleNewsMilliseconds = 80;

const hashRange = 2 ** 32;
const noWork: PromptWork = {keptTokens: 0, fetchTokens: 0, readTokens: 0};

/** An endpoint that a request could go to. */
export type Candidate = {endpoint: EndpointRecord; isAdmitted: boolean; basis: PlacementBasis};

/** What all instances have under way at an endpoint; `isWhole` if the work of the others is known. */
export type SharedLoad = {load: EndpointLoad; isWhole: boolean};

/** Requests at an endpoint, and how many it runs at a time. */
type Occupancy = {occupancy: number; slots: number};

/** How an endpoint stands to a prompt. */
type Situation = {isHome: boolean; shared: SharedLoad; occupied: Occupancy};

export class CandidateEstimates {
	readonly #dataCentre: string;
	readonly #memories: EndpointMemories;
	readonly #othersAt: OthersAt;

	/**
	 * @param dataCentre - Where this instance stands.
	 * @param memories - What is remembered of endpoints.
	 * @param othersAt - What the other instances have under way.
	 */
	constructor(dataCentre: string, memories: EndpointMemories, othersAt: OthersAt) {
		this.#dataCentre = dataCentre;
		this.#memories = memories;
		this.#othersAt = othersAt;
	}

	/** What all instances have under way at an endpoint, as far as known here. */
	loadAt(endpoint: EndpointRecord, now: number): SharedLoad {
		const own = this.#memories.outlookOf(endpoint).loadAt(now);
		const others = this.#othersAt(endpoint.name, now);
		return others === undefined ? {load: own, isWhole: false} : {load: addLoads(own, others), isWhole: true};
	}

	/**
	 * Estimates a place.
	 *
	 * @param request - The request.
	 * @param endpoint - Where it could go.
	 * @param isHome - Whether its last shared part is read there if nobody keeps it.
	 * @param now - Milliseconds of the steady clock.
	 */
	estimate(request: PlacementRequest, endpoint: EndpointRecord, isHome: boolean, now: number): Candidate {
		const shared = this.loadAt(endpoint, now);
		const reported = shared.isWhole ? undefined : this.#memories.outlookOf(endpoint).reportedOccupancy(now);
		const occupied: Occupancy = {
			occupancy: Math.max(shared.load.requests, reported ?? 0), slots: Math.max(1, endpoint.slots),
		};
		return request.prompt === undefined
			? this.#estimateCall(endpoint, occupied)
			: this.#estimatePrompt(request, endpoint, {isHome, shared, occupied}, now);
	}

	/** What an engine has to read for a prompt; the time in which it fetches counts as well, since it reads no other meanwhile. */
	unreadTokensOf(request: PlacementRequest, endpoint: EndpointRecord, work: PromptWork): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		return Math.round(work.readTokens + (speed * fetchMillisecondsOf(request, endpoint, work)));
	}

	#estimateCall(endpoint: EndpointRecord, {occupancy, slots}: Occupancy): Candidate {
		const costMilliseconds = (callMilliseconds * occupancy / slots) + this.#distanceTo(endpoint);
		const basis = {
			...noWork, unreadBefore: undefined, occupancy, costMilliseconds,
		};
		return {endpoint, isAdmitted: occupancy < fullShare * slots, basis};
	}

	#estimatePrompt(request: PlacementRequest, endpoint: EndpointRecord, {isHome, shared, occupied}: Situation, now: number): Candidate {
		const {load, isWhole} = shared;
		const {occupancy, slots} = occupied;
		const work = this.#workAt(request, endpoint, isHome, now);
		const before = unreadAhead(load, request.rank, slots);
		const queued = waitingMilliseconds * Math.max(0, occupancy - slots);
		const weights = isBehind(request, endpoint) ? oldWeightsMilliseconds : 0;
		const spread = staleNewsMilliseconds * hashOf(`${request.id}|${endpoint.name}`) / hashRange;
		const basis = {
			...work,
			unreadBefore: isWhole ? before : undefined,
			occupancy,
			costMilliseconds: this.#readingCost(request, endpoint, work, {before, isHome}) + (runningMilliseconds * occupancy) + queued + this.#distanceTo(endpoint) + weights + spread,
		};
		const isAdmitted = occupancy < fullShare * slots
			&& beginsInGrant(request, endpoint, this.#waitOf(request, endpoint, work, before) + queued, now)
			&& this.#admits(request, work.readTokens, isWhole ? load : undefined);
		return {endpoint, isAdmitted, basis};
	}

	#distanceTo({dataCentre}: EndpointRecord): number {
		return dataCentre === this.#dataCentre ? 0 : otherDataCentreMilliseconds;
	}

	/** How long a prompt waits for its first token at an engine that has a slot for it. */
	#waitOf(request: PlacementRequest, endpoint: EndpointRecord, work: PromptWork, before: number): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		return ((before + work.readTokens) / speed) + fetchMillisecondsOf(request, endpoint, work);
	}

	/** What fetching, reading and waiting for the reading of others cost, in milliseconds; less at the home of unread parts. */
	#readingCost(request: PlacementRequest, endpoint: EndpointRecord, work: PromptWork, {before, isHome}: {before: number; isHome: boolean}): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const reading = rereadWeight * work.readTokens / speed;
		const preference = isHome ? coldHomeShare * rereadWeight * unreadSharedTokens(request, work) / speed : 0;
		return reading + fetchMillisecondsOf(request, endpoint, work) + (before / speed) - preference;
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

/** How long an engine fetches for a prompt. */
function fetchMillisecondsOf(request: PlacementRequest, endpoint: EndpointRecord, {fetchTokens}: PromptWork): number {
	return fetchTokens === 0 ? 0 : fetchTokens / fetchTokensPerMillisecond(request.engine, request.isSourceNear(endpoint));
}

/** Shared tokens of a prompt that an engine would have to read. */
function unreadSharedTokens({prompt}: PlacementRequest, {readTokens}: PromptWork): number {
	return Math.max(0, readTokens - (prompt?.parts.at(-1)?.tokens ?? 0));
}

/** Memory that a prompt needs from its start to its end. */
export function heldTokensOf({prompt}: PlacementRequest): number {
	return prompt === undefined ? 0 : prompt.promptTokens + prompt.mostOutputTokens;
}

/** Parts that were made under other weights are not found. */
export function scopeAt({cacheScope, prompt}: PlacementRequest, {weightVersions}: EndpointRecord): string {
	return `${cacheScope}@${weightVersions.get(prompt?.model ?? '') ?? 0}`;
}
