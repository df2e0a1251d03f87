/**
 * Estimates the cost of placing a request at an endpoint, and whether the endpoint accepts it, from the tokens to prefill
 * and to fetch, the work ahead of the request, the pace of the endpoint, and the distance to it. Costs are in milliseconds.
 */
import {extendHash, finishHash, hashStateOf} from '../../shared/hash-of.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type ConnectionPreference} from '../connections/connection-preference.js';
import {admitsPrompt} from './admit-prompt.js';
import {type Candidate, staleLoadSpreadMilliseconds} from './candidate.js';
import {addLoads, type EndpointLoad, prefillTokensAhead} from './endpoint-load.js';
import {type PlacementState} from './placement-state.js';
import {mayStartOnWeights, hasOlderWeights} from './older-weights.js';
import {
	type OtherInstancesLoad, type Placement, type PlacementBasis, type PlacementRequest,
} from './placement.js';
import {promptWork, type PromptWork} from './prompt-work.js';

/** Factor on the time of prefill: its own caller waits for it once, and it delays all other requests on the engine too. */
const prefillWeight = 3;
/**
 * Share of the prefill cost of a block that is cached nowhere, by which its owner is preferred. Callers of one block
 * arrive within milliseconds of each other. Each one that finds the block cached saves the whole cost, so it pays to wait
 * for half of it.
 */
const coldOwnerShare = 0.5;
/**
 * Blocks that were sent to an engine count as cached for this long, after which its own cache events must confirm them.
 * It covers the prefill of the longest prompt, the delay of the events, and two queries to the coordinator.
 */
const sentBlockLifetimeMilliseconds = 1000;
/** Cost of a running request: it slows the tokens of the others by about 0.1 ms a step, over some dozens of steps. */
const runningCostMilliseconds = 3;
/** Cost of a waiting request: the engine is full, and a slot becomes free after about the time of a short answer. */
const waitingCostMilliseconds = 200;
/** Cost of a call ahead at a plain service: calls hold a slot for tens of milliseconds. */
const callCostMilliseconds = 40;
/** Cost of an endpoint in another data centre: a round trip, and the price of the bytes that cross. */
const otherDataCentreCostMilliseconds = 6;
/**
 * Cost of an engine whose weights are older than the wanted version: an answer from them is worth a fifth less, about as
 * much as this delay costs a prompt with a short objective.
 */
const olderWeightsCostMilliseconds = 150;
/** A service is full when each of its endpoints has this multiple of its slots running or waiting. */
const fullOccupancyFactor = 2;

const hashRange = 2 ** 32;
const noWork: PromptWork = {
	keptTokens: 0, fetchTokens: 0, fetchMilliseconds: 0, readTokens: 0,
};

/** The load of an endpoint; `includesOthers` is false while the load of the other instances is unknown. */
export type SharedLoad = {load: EndpointLoad; includesOthers: boolean};

/** Requests at an endpoint, and how many it runs concurrently. */
type Occupancy = {occupancy: number; slots: number};

/** What the estimate of a prompt at an endpoint starts from. */
type EstimateInputs = {isOwner: boolean; shared: SharedLoad; occupied: Occupancy};

export class CandidateEstimator {
	readonly #dataCentre: string;
	readonly #state: PlacementState;
	readonly #loadOfOthers: OtherInstancesLoad;
	readonly #connections: ConnectionPreference | undefined;
	/** The state of a hash after the id of the request that was estimated last, which all of its candidates have in common. */
	#hashed = {id: '', state: hashStateOf('|')};

	/**
	 * @param dataCentre - Data centre of this instance.
	 * @param state - State per endpoint and service.
	 * @param sources - Gives the load of the other instances; `connections` prefers endpoints with an idle connection.
	 */
	constructor(dataCentre: string, state: PlacementState, {loadOfOthers, connections}: {loadOfOthers: OtherInstancesLoad; connections: ConnectionPreference | undefined}) {
		this.#dataCentre = dataCentre;
		this.#state = state;
		this.#loadOfOthers = loadOfOthers;
		this.#connections = connections;
	}

	/** The load of all instances at an endpoint, as far as it is known here. */
	loadAt(endpoint: EndpointRecord, now: number): SharedLoad {
		const own = this.#state.trackerOf(endpoint).loadAt(now);
		const others = this.#loadOfOthers(endpoint.name, now);
		return others === undefined ? {load: own, includesOthers: false} : {load: addLoads(own, others), includesOthers: true};
	}

	/**
	 * Estimates the cost of an endpoint for a request.
	 *
	 * @param request - The request.
	 * @param endpoint - The candidate.
	 * @param isOwner - Whether the endpoint owns the prompt's last shared block, which it prefills if no engine has it
	 * cached.
	 * @param now - Milliseconds of the steady clock.
	 */
	estimate(request: PlacementRequest, endpoint: EndpointRecord, isOwner: boolean, now: number): Candidate {
		const shared = this.loadAt(endpoint, now);
		const reported = shared.includesOthers ? undefined : this.#state.trackerOf(endpoint).reportedOccupancy(now);
		const occupied: Occupancy = {
			occupancy: Math.max(shared.load.requests, reported ?? 0), slots: Math.max(1, endpoint.slots),
		};
		return request.prompt === undefined
			? this.#estimateCall(endpoint, occupied, now)
			: this.#estimatePrompt(request, endpoint, {isOwner, shared, occupied}, now);
	}

	/** The factor that is expected of an endpoint's pace over a time; 1 where its service reports none. */
	paceOver(endpoint: EndpointRecord, from: number, until: number): number {
		return this.#state.paceModelOf(endpoint.service)?.factorOver(this.#state.trackerOf(endpoint).pace, from, until) ?? 1;
	}

	/** The placement at a candidate, with what was known of its pace. */
	withPace({endpoint, basis, pace, ...chosen}: Candidate, candidates: readonly Candidate[], now: number): Placement & {kind: 'send'} {
		if (this.#state.paceModelOf(endpoint.service) === undefined) {
			return {kind: 'send', endpoint, basis};
		}

		const figure = this.#state.trackerOf(endpoint).pace;
		const usualCost = basis.costMilliseconds - chosen.paceCostMilliseconds;
		const avoidsSlow = candidates.some(other => other.paceCostMilliseconds > 0 && other.basis.costMilliseconds - other.paceCostMilliseconds < usualCost);
		return {
			kind: 'send',
			endpoint,
			basis: {
				...basis,
				...(figure === undefined ? {} : {pace: {percent: Math.round(100 * figure.factor), ageMilliseconds: Math.round(now - figure.at), expectedPercent: Math.round(100 * pace)}}),
				...(avoidsSlow ? {avoidsSlow} : {}),
			},
		};
	}

	/**
	 * Tokens that an engine has to prefill for a prompt. The time of its fetches counts as the tokens that it could
	 * prefill meanwhile, since it prefills no other prompt during a fetch.
	 */
	prefillEquivalentTokens({service}: PlacementRequest, {readTokens, fetchMilliseconds}: PromptWork): number {
		return Math.round(readTokens + (this.#state.prefillSpeedOf(service).tokensPerMillisecond * fetchMilliseconds));
	}

	#estimateCall(endpoint: EndpointRecord, {occupancy, slots}: Occupancy, now: number): Candidate {
		const model = this.#state.paceModelOf(endpoint.service);
		const pace = model === undefined ? 1 : this.paceOver(endpoint, now, now + callCostMilliseconds);
		// Where the pace is known, the time of the call itself differs between endpoints.
		const own = model === undefined ? 0 : callCostMilliseconds * pace;
		const ahead = callCostMilliseconds * occupancy / slots;
		const costMilliseconds = (pace * ahead) + this.#distanceCost(endpoint) + own;
		const basis = {
			...noWork, unreadBefore: undefined, occupancy, costMilliseconds,
		};
		return {
			endpoint,
			isAdmitted: occupancy < fullOccupancyFactor * slots,
			basis,
			pace,
			paceCostMilliseconds: model === undefined ? 0 : (pace - model.mean) * (ahead + callCostMilliseconds),
			spreadMilliseconds: 0,
			isPreferredOwner: false,
		};
	}

	#estimatePrompt(request: PlacementRequest, endpoint: EndpointRecord, {isOwner, shared, occupied}: EstimateInputs, now: number): Candidate {
		const {load, includesOthers} = shared;
		const {occupancy, slots} = occupied;
		const work = this.#workAt(request, endpoint, isOwner, now);
		const before = prefillTokensAhead(load, request.rank, slots);
		const speed = this.#state.prefillSpeedOf(request.service).tokensPerMillisecond;
		const model = this.#state.paceModelOf(endpoint.service);
		const end = now + ((before + work.readTokens) / speed);
		const pace = this.paceOver(endpoint, now, end);
		const meanPace = model?.mean ?? 1;
		const queued = pace * waitingCostMilliseconds * Math.max(0, occupancy - slots);
		const running = pace * runningCostMilliseconds * occupancy;
		const prefill = pace * prefillWeight * work.readTokens / speed;
		const ahead = pace * before / speed;
		// The prefill that later callers are spared happens at another time, at the mean pace.
		const preference = isOwner ? meanPace * coldOwnerShare * prefillWeight * uncachedSharedTokens(request, work) / speed : 0;
		const weights = hasOlderWeights(request, endpoint) ? olderWeightsCostMilliseconds : 0;
		const connection = this.#connections?.expectedAt(endpoint, now);
		const spread = staleLoadSpreadMilliseconds * this.#hashAt(request, endpoint) / hashRange;
		const basis: PlacementBasis = {
			...work,
			unreadBefore: includesOthers ? before : undefined,
			occupancy,
			costMilliseconds: (prefill + work.fetchMilliseconds + ahead - preference) + running + queued + this.#distanceCost(endpoint) + weights + spread,
		};
		if (connection !== undefined) {
			basis.connection = connection;
		}

		const isAdmitted = occupancy < fullOccupancyFactor * slots
			&& mayStartOnWeights(request, endpoint, (pace * (before + work.readTokens) / speed) + work.fetchMilliseconds + queued, now)
			&& this.#admits(request, work.readTokens, includesOthers ? load : undefined, speed / this.#admissionPace(endpoint, now, end));
		return {
			endpoint,
			isAdmitted,
			basis,
			pace,
			paceCostMilliseconds: pace === meanPace ? 0 : (1 - (meanPace / pace)) * (prefill + ahead + running + queued),
			spreadMilliseconds: spread,
			isPreferredOwner: preference > 0,
		};
	}

	/**
	 * The factor that admission counts on. Where nothing is known, that is the median of the service in place of the mean: at most
	 * endpoints the prompt would be in time, and a late answer is worth more than none.
	 */
	#admissionPace(endpoint: EndpointRecord, from: number, until: number): number {
		const model = this.#state.paceModelOf(endpoint.service);
		return model === undefined ? 1 : model.factorOver(this.#state.trackerOf(endpoint).pace, from, until, model.median);
	}

	/** The hash of a request's id and the name of an endpoint. */
	#hashAt({id}: PlacementRequest, {name}: EndpointRecord): number {
		if (this.#hashed.id !== id) {
			this.#hashed = {id, state: hashStateOf(`${id}|`)};
		}

		return finishHash(extendHash(this.#hashed.state, name));
	}

	#distanceCost({dataCentre}: EndpointRecord): number {
		return dataCentre === this.#dataCentre ? 0 : otherDataCentreCostMilliseconds;
	}

	/** Accepts every prompt while the load of the other instances is unknown; the engine's own queue is the limit then. */
	#admits(request: PlacementRequest, prefillTokens: number, load: EndpointLoad | undefined, tokensPerMillisecond: number): boolean {
		const capacityTokens = request.engine?.capacityTokens ?? 0;
		if (load === undefined || capacityTokens === 0) {
			return true;
		}

		return admitsPrompt({
			rank: request.rank, objectiveMilliseconds: request.objectiveMilliseconds, heldTokens: heldTokensOf(request), prefillTokens,
		}, load, {capacityTokens, tokensPerMillisecond});
	}

	/** The work that a prompt would cause at an engine. */
	#workAt(request: PlacementRequest, endpoint: EndpointRecord, isOwner: boolean, now: number): PromptWork {
		const {blocks} = request.prompt!;
		const fetchMilliseconds = request.fetchMillisecondsAt(endpoint);
		const cached = request.cachedTokensAt(endpoint);
		const sentBlocks = this.#state.prefixCacheOf(endpoint, request.engine?.capacityTokens ?? 0);
		const scope = cacheScopeAt(request, endpoint);
		const since = cached === undefined ? Number.NEGATIVE_INFINITY : now - sentBlockLifetimeMilliseconds;
		const isPresumed = (index: number): boolean => isOwner && cached === undefined && index < blocks.length - 1;
		return promptWork(request.prompt!, {
			cachedTokens: index => isPresumed(index) ? blocks[index]!.tokens : Math.max(cached?.[index] ?? 0, sentBlocks.cachedTokens(scope, blocks[index]!, since)),
			fetchMilliseconds: index => fetchMilliseconds[index],
		});
	}
}

/** Tokens of shared blocks that an engine would have to prefill. */
function uncachedSharedTokens({prompt}: PlacementRequest, {readTokens}: PromptWork): number {
	return Math.max(0, readTokens - (prompt?.blocks.at(-1)?.tokens ?? 0));
}

/** KV memory that a prompt needs from start to end, in tokens. */
export function heldTokensOf({prompt}: PlacementRequest): number {
	return prompt === undefined ? 0 : prompt.promptTokens + prompt.maxOutputTokens;
}

/** The scope of cached blocks at an engine. It includes the weight version, since blocks from other weights do not match. */
export function cacheScopeAt({cacheScope, prompt}: PlacementRequest, {weightVersions}: EndpointRecord): string {
	return `${cacheScope}@${weightVersions.get(prompt?.model ?? '') ?? 0}`;
}
