/**
 * The waiting requests of one service: a lane per workspace, a queue per class in each lane, and start-time fair queueing
 * over the lanes. A lane's virtual time is the work that was served for it, divided by its weight; the lane with the
 * least virtual time is next.
 */
import {type PriorityClass} from '../../shared/types.js';
import {type AdmissionRequest} from './admission-policy.js';

/**
 * Overnight work that has waited this long counts as normal work. At ten minutes a night's backlog still yields to a
 * burst, while an endless stream of normal work cannot hold it back until its deadline hours later.
 */
export const ageingMilliseconds = 600_000;
/** Work of a request besides its prompt: its answer, and the step overhead of a short prompt. */
const overheadTokens = 256;
/**
 * Credit that a lane may have when it becomes active again: two long prompts. Without any, a small workspace that sends a
 * request now and then through one of many instances loses its claim between any two prompts, and gets 63% of its fair
 * share.
 */
export const maxCreditTokens = 65_536;
/** Lanes that are remembered: more than the workspaces that one instance serves in an hour at the target size. */
const laneLimit = 2000;
const classes: readonly PriorityClass[] = ['urgent', 'normal', 'overnight'];

/** A waiting request. */
export type WaitingRequest = {request: AdmissionRequest; arrivedAt: number; cost: number};

type Lane = {workspace: string; share: number; virtualTime: number; queues: Record<PriorityClass, WaitingRequest[]>};

/** The work that a request counts as, in tokens. */
export function costOf(request: AdmissionRequest): number {
	return request.promptTokens + overheadTokens;
}

export class ServiceQueue {
	readonly #lanes = new Map<string, Lane>();
	#lastVirtualTime = 0;
	#size = 0;
	#earliestDeadline = Number.POSITIVE_INFINITY;

	get size(): number {
		return this.#size;
	}

	/** Adds a request to the end of its lane's queue. */
	enqueue(request: AdmissionRequest, now: number): void {
		const lane = this.#laneOf(request);
		if (classes.every(priority => lane.queues[priority].length === 0)) {
			// An idle lane keeps little credit. Otherwise a workspace that was away for an hour would take all of the
			// capacity for as long as its unused share lasts, and no other workspace would be served.
			lane.virtualTime = Math.max(lane.virtualTime, this.#minVirtualTime() - (maxCreditTokens / request.share));
		}

		lane.share = request.share;
		lane.queues[request.priority].push({request, arrivedAt: now, cost: costOf(request)});
		this.#size++;
		this.#earliestDeadline = Math.min(this.#earliestDeadline, request.deadline);
	}

	/** Removes and returns the next request of a class, in fair order over the workspaces. */
	dequeue(priority: PriorityClass): WaitingRequest | undefined {
		let next: Lane | undefined;
		for (const lane of this.#lanes.values()) {
			if (lane.queues[priority].length > 0 && (next === undefined || lane.virtualTime < next.virtualTime)) {
				next = lane;
			}
		}

		const waiting = next?.queues[priority].shift();
		if (next === undefined || waiting === undefined) {
			return undefined;
		}

		this.#lastVirtualTime = this.#minVirtualTime();
		next.virtualTime += waiting.cost / next.share;
		this.#size--;
		return waiting;
	}

	/** Removes a request; false if it does not wait here. */
	remove(requestId: string): boolean {
		for (const lane of this.#lanes.values()) {
			for (const priority of classes) {
				const index = lane.queues[priority].findIndex(({request}) => request.requestId === requestId);
				if (index !== -1) {
					lane.queues[priority].splice(index, 1);
					this.#size--;
					return true;
				}
			}
		}

		return false;
	}

	/**
	 * Removes and returns the requests that can no longer meet their deadline, and moves overnight work that has waited
	 * long to the end of the normal queue.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @param firstTokenMilliseconds - How long a normal request takes from admission to its first token.
	 */
	sweep(now: number, firstTokenMilliseconds: number): AdmissionRequest[] {
		const late: AdmissionRequest[] = [];
		for (const lane of this.#lanes.values()) {
			while ((lane.queues.overnight[0]?.arrivedAt ?? now) + ageingMilliseconds <= now) {
				lane.queues.normal.push(lane.queues.overnight.shift()!);
			}
		}

		if (this.#earliestDeadline > now + firstTokenMilliseconds) {
			return late;
		}

		this.#earliestDeadline = Number.POSITIVE_INFINITY;
		for (const lane of this.#lanes.values()) {
			for (const priority of classes) {
				const limit = now + (priority === 'normal' ? firstTokenMilliseconds : 0);
				late.push(...lane.queues[priority].filter(({request}) => request.deadline <= limit).map(({request}) => request));
				lane.queues[priority] = lane.queues[priority].filter(({request}) => request.deadline > limit);
				this.#earliestDeadline = Math.min(this.#earliestDeadline, ...lane.queues[priority].map(({request}) => request.deadline));
			}
		}

		this.#size -= late.length;
		return late;
	}

	/** Removes the newest and least urgent request of the lane with the most waiting work for its weight. */
	dropFromLongest(): AdmissionRequest | undefined {
		let longest: Lane | undefined;
		let maxWork = -1;
		for (const lane of this.#lanes.values()) {
			const work = classes.reduce((sum, priority) => sum + workIn(lane.queues[priority]), 0) / lane.share;
			if (work > maxWork) {
				maxWork = work;
				longest = lane;
			}
		}

		const priority = classes.toReversed().find(name => (longest?.queues[name].length ?? 0) > 0);
		const dropped = priority === undefined ? undefined : longest!.queues[priority].pop();
		this.#size -= dropped === undefined ? 0 : 1;
		return dropped?.request;
	}

	/**
	 * Computes the work that is served before a new request: all work of higher classes, and of its own class what fair
	 * order puts first, which is at most its own lane's work times the ratio of all active weights to its own.
	 */
	workAhead(request: AdmissionRequest): number {
		let higher = 0;
		let same = 0;
		let weights = 0;
		for (const lane of this.#lanes.values()) {
			for (const priority of classes.slice(0, classes.indexOf(request.priority))) {
				higher += workIn(lane.queues[priority]);
			}

			const work = workIn(lane.queues[request.priority]);
			same += work;
			weights += work > 0 || lane.workspace === request.workspace ? lane.share : 0;
		}

		const lane = this.#lanes.get(request.workspace);
		const own = (lane === undefined ? 0 : workIn(lane.queues[request.priority])) + costOf(request);
		return higher + Math.min(same, own * Math.max(1, weights / request.share));
	}

	/** All waiting requests. */
	list(): AdmissionRequest[] {
		return [...this.#lanes.values()].flatMap(lane => classes.flatMap(priority => lane.queues[priority].map(({request}) => request)));
	}

	#laneOf({workspace, share}: AdmissionRequest): Lane {
		let lane = this.#lanes.get(workspace);
		if (lane === undefined) {
			lane = {
				workspace, share, virtualTime: this.#minVirtualTime(), queues: {urgent: [], normal: [], overnight: []},
			};
			this.#lanes.set(workspace, lane);
			this.#boundLanes();
		}

		return lane;
	}

	/** The least virtual time of all waiting lanes; its last value while none waits. */
	#minVirtualTime(): number {
		let minimum = Number.POSITIVE_INFINITY;
		for (const lane of this.#lanes.values()) {
			if (lane.virtualTime < minimum && classes.some(priority => lane.queues[priority].length > 0)) {
				minimum = lane.virtualTime;
			}
		}

		return minimum === Number.POSITIVE_INFINITY ? this.#lastVirtualTime : minimum;
	}

	/** Forgets an idle lane above the limit, so that memory follows the workspaces in use. */
	#boundLanes(): void {
		if (this.#lanes.size > laneLimit) {
			const idle = [...this.#lanes.values()].find(lane => classes.every(priority => lane.queues[priority].length === 0));
			this.#lanes.delete(idle?.workspace ?? '');
		}
	}
}

function workIn(queue: readonly WaitingRequest[]): number {
	return queue.reduce((sum, {cost}) => sum + cost, 0);
}
