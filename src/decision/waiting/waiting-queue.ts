/**
 * The requests of one instance for which no endpoint has room: which of them wait, in which order they try again, and when
 * one is dropped.
 *
 * A request that is refused after a wait costs its caller more than one that is refused at once. So a request waits only if
 * it will be admitted well before its deadline by the admissions that were observed, or for a small share of its objective
 * while nothing was observed.
 */
import {FairShareOrder} from './fair-share-order.js';
import {WaitEstimate} from './wait-estimate.js';
import {type OrderContext, type WaitingOrder} from './waiting-order.js';
import {
	type QueuedRequest, type WaitDecision, type WaitingRequest, type WaitOutlook,
} from './waiting-request.js';
import {WorkspaceUse} from './workspace-use.js';

/** Bounds of the queue. */
export type QueueBounds = {maxRequests: number; maxBytes: number};

/** A small instance gets some 20 requests a second in a burst and has 200 MB of memory. */
export const defaultQueueBounds: QueueBounds = {maxRequests: 200, maxBytes: 8 * 1024 * 1024};
/** Share of the objective for which a request waits while no admissions were observed. */
const unobservedWaitShare = 1 / 8;
/**
 * The same for an assured request, whatever the estimate: one instance sees too few admissions to know that others are refused.
 * With 0.4, they are held for half as long again and not served more often.
 */
const assuredWaitShare = 1 / 4;
/** A request waits for up to this multiple of the estimate; one in twenty waits longer where room is found at random. */
const maxWaitFactor = 3;
/**
 * Share of its remaining time that a request may wait; the rest is for its service, or for a retry by its caller. With a half,
 * plain calls of a burst of 2.4 times are held so long that those that are served are late.
 */
const maxShareOfRemaining = 0.25;
/**
 * Share of its objective that a request may wait. With the share of the remaining time alone, long prompts are held for several
 * times their objective before they are refused. With a half, hardly more of them are served than if all are refused at once.
 */
const maxShareOfObjective = 0.9;
/** A request waits only if the estimate is at most this share of what it may wait; nearly half of all waits exceed their mean. */
const maxEstimateShare = 0.5;
/** A request that has waited for this share of its objective goes first, whatever its rank. */
const passedOverShare = 0.5;
/** At most one of this many admissions goes to such a request, so that these do not delay all urgent ones in a long burst. */
const passedOverInterval = 4;
/** More than the lanes of one instance; the one that was created first is dropped first. */
const maxLanes = 200;

type Lane = {
	requests: QueuedRequest[];
	/** By rank: an engine that is full for one rank may have room for a more urgent one. */
	estimates: Map<number, WaitEstimate>;
	admissionsSincePassedOver: number;
};

export class WaitingQueue {
	readonly #lanes = new Map<string, Lane>();
	readonly #use = new WorkspaceUse();
	/** The ranks of the requests that were seen, by service. */
	readonly #ranks = new Map<string, Set<number>>();
	readonly #order: WaitingOrder;
	readonly #bounds: QueueBounds;

	constructor(order: WaitingOrder = new FairShareOrder(), bounds: QueueBounds = defaultQueueBounds) {
		this.#order = order;
		this.#bounds = bounds;
	}

	/** All queued requests. */
	all(): QueuedRequest[] {
		return [...this.#lanes.values()].flatMap(({requests}) => requests);
	}

	/**
	 * Whether a request that arrives must not be placed yet, since one that goes before it waits.
	 *
	 * Engines differ in what they have cached, so a prompt may find room where those that wait find none. Only more urgent
	 * ones hold it up, for which that room may be needed. Endpoints of plain calls are all alike.
	 */
	mustYield(request: WaitingRequest, now: number): boolean {
		return this.#ahead(request, now).some(({rank}) => !request.isPrompt || rank < request.rank);
	}

	/** Whether the rank of a request is the least urgent one of its service, and requests of a more urgent one were seen. */
	isLeastUrgent({service, rank}: Pick<WaitingRequest, 'service' | 'rank'>): boolean {
		const ranks = [...this.#ranks.get(service) ?? []];
		return rank >= Math.max(...ranks) && rank > Math.min(...ranks);
	}

	/** What is known of the wait of a request that is not queued. */
	outlook(request: WaitingRequest, now: number): WaitOutlook {
		const ahead = this.#ahead(request, now);
		const aheadByRank: Record<number, number> = {};
		const byWorkspace = new Map<string, number>();
		for (const {rank, workspace} of ahead) {
			aheadByRank[rank] = (aheadByRank[rank] ?? 0) + 1;
			byWorkspace.set(workspace, (byWorkspace.get(workspace) ?? 0) + 1);
		}

		const estimate = this.#lanes.get(request.lane)?.estimates.get(request.rank);
		const interval = estimate?.intervalMilliseconds(now);
		return {
			aheadByRank,
			mostAhead: [...byWorkspace].toSorted(([, one], [, other]) => other - one)[0]?.[0],
			estimateMilliseconds: interval === undefined ? undefined : interval * ((aheadByRank[request.rank] ?? 0) + 1),
			ageMilliseconds: estimate?.ageMilliseconds(now),
		};
	}

	/** Decides whether a request for which there is no room waits, and queues it if so. */
	arrive(request: WaitingRequest, now: number): WaitDecision {
		this.#noteRank(request);
		const outlook = this.outlook(request, now);
		const lane = this.#laneOf(request.lane);
		const waitMilliseconds = longestWait(request, outlook, serviceMillisecondsOf(lane, request), now);
		if (waitMilliseconds <= 0) {
			return {kind: 'refuse', outlook};
		}

		lane.requests.push({...request, since: now, until: now + waitMilliseconds});
		estimateOf(lane, request.rank).setContended(true, now);
		const displaced = this.#displaced(now);
		return displaced.some(({id}) => id === request.id) ? {kind: 'refuse', outlook} : {kind: 'wait', outlook, displaced};
	}

	/** The lanes in which requests wait. */
	lanes(): string[] {
		return [...this.#lanes].filter(([, {requests}]) => requests.length > 0).map(([name]) => name);
	}

	/**
	 * The requests of a lane that may be placed next, in the order in which this is tried: one that was passed over for too
	 * long, and the first in order. The second is tried too, since a less urgent request finds room less often.
	 */
	next(laneName: string, now: number): QueuedRequest[] {
		const lane = this.#lanes.get(laneName);
		const first = lane === undefined ? undefined : this.#inOrder(laneName, lane, now)[0];
		if (lane === undefined || first === undefined) {
			return [];
		}

		const passedOver = lane.admissionsSincePassedOver < passedOverInterval - 1
			? undefined
			: lane.requests.find(request => isPassedOver(request, now) && request !== first);
		return passedOver === undefined ? [first] : [passedOver, first];
	}

	/** Records that a request was placed, whether it had waited or not. */
	noteAdmitted(request: WaitingRequest, now: number): void {
		this.#noteRank(request);
		this.#use.add(request.lane, request.workspace, request.work, now);
		const lane = this.#laneOf(request.lane);
		const queued = lane.requests.find(({id}) => id === request.id);
		if (queued === undefined) {
			return;
		}

		const isOutOfTurn = this.#inOrder(request.lane, lane, now)[0] !== queued;
		lane.admissionsSincePassedOver = isOutOfTurn ? 0 : lane.admissionsSincePassedOver + 1;
		estimateOf(lane, request.rank).noteAdmitted(now);
		this.remove(queued, now);
	}

	/** Records the time from the placement of a request to the first byte of its answer. */
	noteServed({lane, rank}: Pick<WaitingRequest, 'lane' | 'rank'>, milliseconds: number): void {
		estimateOf(this.#laneOf(lane), rank).noteServed(milliseconds);
	}

	/** Removes a request that is placed, refused or not wanted any more; returns whether it was queued. */
	remove({lane: laneName, id}: Pick<WaitingRequest, 'lane' | 'id'>, now: number): boolean {
		const lane = this.#lanes.get(laneName);
		const index = lane?.requests.findIndex(request => request.id === id) ?? -1;
		if (lane === undefined || index === -1) {
			return false;
		}

		const [{rank}] = lane.requests.splice(index, 1) as [QueuedRequest];
		estimateOf(lane, rank).setContended(lane.requests.some(request => request.rank === rank), now);
		return true;
	}

	/** Removes and returns the requests whose wait has ended, or that can no longer be answered before their deadline. */
	expire(now: number): QueuedRequest[] {
		const expired: QueuedRequest[] = [];
		for (const lane of this.#lanes.values()) {
			expired.push(...lane.requests.filter(request => now >= Math.min(request.until, request.deadlineAt - serviceMillisecondsOf(lane, request))));
		}

		for (const request of expired) {
			this.remove(request, now);
		}

		return expired;
	}

	/** The queued requests of the same lane that go before a request. */
	#ahead(request: WaitingRequest, now: number): QueuedRequest[] {
		const lane = this.#lanes.get(request.lane);
		if (lane === undefined || lane.requests.length === 0) {
			return [];
		}

		const context = this.#contextOf(request.lane, lane, now);
		return lane.requests.filter(other => other.id !== request.id && this.#order.compare(other, request, context) <= 0);
	}

	#inOrder(name: string, lane: Lane, now: number): QueuedRequest[] {
		const context = this.#contextOf(name, lane, now);
		return lane.requests.toSorted((one, other) => this.#order.compare(one, other, context));
	}

	#contextOf(name: string, lane: Lane, now: number): OrderContext {
		return {
			now, serviceMilliseconds: request => serviceMillisecondsOf(lane, request), useOf: workspace => this.#use.of(name, workspace, now),
		};
	}

	/** Removes requests until the queue is within its bounds: the last ones of the lane with the most requests or bytes. */
	#displaced(now: number): QueuedRequest[] {
		const displaced: QueuedRequest[] = [];
		for (;;) {
			const all = this.all();
			const isOverBytes = bytesOf(all) > this.#bounds.maxBytes;
			if (all.length <= this.#bounds.maxRequests && !isOverBytes) {
				return displaced;
			}

			const [name, lane] = [...this.#lanes].toSorted(([, one], [, other]) => sizeOf(other, isOverBytes) - sizeOf(one, isOverBytes))[0]!;
			const last = this.#inOrder(name, lane, now).at(-1)!;
			this.remove(last, now);
			displaced.push(last);
		}
	}

	#noteRank({service, rank}: WaitingRequest): void {
		const ranks = this.#ranks.get(service) ?? new Set();
		this.#ranks.set(service, ranks.add(rank));
	}

	#laneOf(name: string): Lane {
		let lane = this.#lanes.get(name);
		if (lane === undefined) {
			lane = {requests: [], estimates: new Map(), admissionsSincePassedOver: 0};
			this.#lanes.set(name, lane);
			this.#dropUnusedLane(name);
		}

		return lane;
	}

	#dropUnusedLane(newest: string): void {
		if (this.#lanes.size > maxLanes) {
			const unused = [...this.#lanes].find(([name, {requests}]) => requests.length === 0 && name !== newest);
			this.#lanes.delete(unused?.[0] ?? '');
		}
	}
}

/** How long a request may wait; 0 if it would hardly be admitted in this time. */
function longestWait(request: WaitingRequest, {estimateMilliseconds, aheadByRank}: WaitOutlook, serviceMilliseconds: number, now: number): number {
	const usable = Math.min(maxShareOfObjective * request.objectiveMilliseconds, maxShareOfRemaining * (request.deadlineAt - now - serviceMilliseconds));
	if (request.isAssured === true) {
		return Math.min(usable, assuredWaitShare * request.objectiveMilliseconds);
	}

	if (estimateMilliseconds === undefined) {
		// With others ahead and nothing observed, the first of them has to show whether there is room.
		const ahead = Object.values(aheadByRank).reduce((sum, count) => sum + count, 0);
		return Math.min(usable, unobservedWaitShare * request.objectiveMilliseconds / (ahead + 1));
	}

	return estimateMilliseconds > maxEstimateShare * usable ? 0 : Math.min(usable, Math.max(maxWaitFactor * estimateMilliseconds, unobservedWaitShare * request.objectiveMilliseconds));
}

function estimateOf({estimates}: Lane, rank: number): WaitEstimate {
	const estimate = estimates.get(rank) ?? new WaitEstimate();
	estimates.set(rank, estimate);
	return estimate;
}

/** Usual time from the admission of such a request to the first byte of its answer; 0 while it is unknown. */
function serviceMillisecondsOf({estimates}: Lane, {rank}: WaitingRequest): number {
	return estimates.get(rank)?.serviceMilliseconds ?? 0;
}

function isPassedOver({since, objectiveMilliseconds}: QueuedRequest, now: number): boolean {
	return now - since >= passedOverShare * objectiveMilliseconds;
}

function bytesOf(requests: readonly QueuedRequest[]): number {
	return requests.reduce((sum, {bytes}) => sum + bytes, 0);
}

function sizeOf({requests}: Lane, countsBytes: boolean): number {
	return countsBytes ? bytesOf(requests) : requests.length;
}
