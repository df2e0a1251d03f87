/**
 * Estimates the cost of placing a request at an endpoint, and whether the endpoint accepts it, from the tokens to prefill
 * and to fetch, the work ahead of the request, and the distance to the endpoint. Costs are in milliseconds.
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

/** Factor on the time of prefill: its own caller waits for it once, and it delays all other requests on the engine too. */
const rereadWeight = 3;
/**
 * Share of the prefill cost of a block that is cached nowhere, by which its owner is preferred. Callers of one block
 * arrive within milliseconds of each other. Each one that finds the block cached saves the whole cost, so it pays to wait
 * for half of it.
 */
const coldHomeShare = 0.5;
/**
 * Blocks that were sent to an engine count as cached for this long, after which its own cache events must confirm them.
 * It covers the prefill of the longest prompt, the delay of the events, and two queries to the coordinator.
 */
const sentLifeMilliseconds = 1000;
/** Cost of a running request: it slows the tokens of the others by about 0.1 ms a step, over some dozens of steps. */
const runningMilliseconds = 3;
/** Cost of a waiting request: the engine is full, and a slot becomes free after about the time of a short answer. */
const waitingMilliseconds = 200;
/** Cost of a call ahead at a plain service: calls hold a slot for tens of milliseconds. */
const callMilliseconds = 40;
/** Cost of an endpoint in another data centre: a round trip, and the price of the bytes that cross. */
const otherDataCentreMilliseconds = 6;
/**
 * Cost of an engine whose weights are older than the wanted version: an answer from them is worth a fifth less, about as
 * much as this delay costs a prompt with a short objective.
 */
const oldWeightsMilliseconds = 150;
/** A service is full when each of its endpoints has this multiple of its slots running or waiting. */
const fullShare = 2;
/**
 * Where the coordinator is far away or unresponsive, what instances know of each other's load is some hundred
 * milliseconds old. Many instances that choose the best engine from the same stale loads choose the same one, and its
 * memory overflows. Costs that differ by less than this therefore count as equal, and the request's id decides. It is
 * about what one long prompt adds to an engine's cost.
 */
const staleNewsMilliseconds = 80;

const hashRange = 2 ** 32;
const noWork: PromptWork = {keptTokens: 0, fetchTokens: 0, readTokens: 0};

/** An endpoint that a request could be sent to. */
export type Candidate = {endpoint: EndpointRecord; isAdmitted: boolean; basis: PlacementBasis};

/** The load of an endpoint; `includesOthers` is false while the load of the other instances is unknown. */
export type SharedLoad = {load: EndpointLoad; isWhole: boolean};

/** Requests at an endpoint, and how many it runs concurrently. */
type Occupancy = {occupancy: number; slots: number};

/** What the estimate of a prompt at an endpoint starts from. */
type Situation = {isHome: boolean; shared: SharedLoad; occupied: Occupancy};

export class CandidateEstimates {
	readonly #dataCentre: string;
	readonly #memories: EndpointMemories;
	readonly #othersAt: OthersAt;

	/**
	 * @param dataCentre - Data centre of this instance.
	 * @param memories - State per endpoint and service.
	 * @param othersAt - Gives the load of the other instances.
	 */
	constructor(dataCentre: string, memories: EndpointMemories, othersAt: OthersAt) {
		this.#dataCentre = dataCentre;
		this.#memories = memories;
		this.#othersAt = othersAt;
	}

	/** The load of all instances at an endpoint, as far as it is known here. */
	loadAt(endpoint: EndpointRecord, now: number): SharedLoad {
		const own = this.#memories.outlookOf(endpoint).loadAt(now);
		const others = this.#othersAt(endpoint.name, now);
		return others === undefined ? {load: own, isWhole: false} : {load: addLoads(own, others), isWhole: true};
	}

	/**
	 * Estimates the cost of an endpoint for a request.
	 *
	 * @param request - The request.
	 * @param endpoint - The candidate.
	 * @param isHome - Whether the endpoint owns the prompt's last shared block, which it prefills if no engine has it
	 * cached.
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

	/**
	 * Tokens that an engine has to prefill for a prompt. The time of its fetches counts as the tokens that it could
	 * prefill meanwhile, since it prefills no other prompt during a fetch.
	 */
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

	/** Expected time to the first token at an engine with a free slot, in milliseconds. */
	#waitOf(request: PlacementRequest, endpoint: EndpointRecord, work: PromptWork, before: number): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		return ((before + work.readTokens) / speed) + fetchMillisecondsOf(request, endpoint, work);
	}

	/**
	 * Cost of the fetch, the prefill and the prefill ahead of it, in milliseconds; lower at the owner of uncached shared
	 * blocks.
	 */
	#readingCost(request: PlacementRequest, endpoint: EndpointRecord, work: PromptWork, {before, isHome}: {before: number; isHome: boolean}): number {
		const speed = this.#memories.speedOf(request.service).tokensPerMillisecond;
		const reading = rereadWeight * work.readTokens / speed;
		const preference = isHome ? coldHomeShare * rereadWeight * unreadSharedTokens(request, work) / speed : 0;
		return reading + fetchMillisecondsOf(request, endpoint, work) + (before / speed) - preference;
	}

	/** Accepts every prompt while the load of the other instances is unknown; the engine's own queue is the limit then. */
	#admits(request: PlacementRequest, readTokens: number, load: EndpointLoad | undefined): boolean {
		const capacityTokens = request.engine?.capacityTokens ?? 0;
		if (load === undefined || capacityTokens === 0) {
			return true;
		}

		return admitsPrompt({
			rank: request.rank, objectiveMilliseconds: request.objectiveMilliseconds, heldTokens: heldTokensOf(request), readTokens,
		}, load, {capacityTokens, tokensPerMillisecond: this.#memories.speedOf(request.service).tokensPerMillisecond});
	}

	/** The work that a prompt would cause at an engine. */
	#workAt(request: PlacementRequest, endpoint: EndpointRecord, isHome: boolean, now: number): PromptWork {
		const {blocks: parts} = request.prompt!;
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

/** Time that an engine spends on fetches for a prompt. */
function fetchMillisecondsOf(request: PlacementRequest, endpoint: EndpointRecord, {fetchTokens}: PromptWork): number {
	return fetchTokens === 0 ? 0 : fetchTokens / fetchTokensPerMillisecond(request.engine, request.isSourceNear(endpoint));
}

/** Tokens of shared blocks that an engine would have to prefill. */
function unreadSharedTokens({prompt}: PlacementRequest, {readTokens}: PromptWork): number {
	return Math.max(0, readTokens - (prompt?.blocks.at(-1)?.tokens ?? 0));
}

/** KV memory that a prompt needs from start to end, in tokens. */
export function heldTokensOf({prompt}: PlacementRequest): number {
	return prompt === undefined ? 0 : prompt.promptTokens + prompt.maxOutputTokens;
}

/** The scope of cached blocks at an engine. It includes the weight version, since blocks from other weights do not match. */
export function scopeAt({cacheScope, prompt}: PlacementRequest, {weightVersions}: EndpointRecord): string {
	return `${cacheScope}@${weightVersions.get(prompt?.model ?? '') ?? 0}`;
}
