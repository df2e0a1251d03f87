/**
 * Admission with fair shares per workspace, priority classes and deadlines.
 *
 * There may be more work than the endpoints can do, most of it from a few large workspaces, with urgent questions among
 * overnight work. Without fair shares the largest workspace takes the capacity of the small ones, an urgent question
 * waits behind a night's batch, and a caller is told only at its deadline that the request could not meet it.
 *
 * Here urgent work goes first and has capacity of its own. Each class is served in fair order of workspaces. A request
 * that cannot meet its deadline is refused on arrival, with the time at which the queue will have room. A full queue
 * drops requests of its longest lane.
 */
import {type Refusal} from '../../shared/types.js';
import {spreadRetry} from '../limits/spread-retry.js';
import {
	type AdmissionAction, type AdmissionPolicy, type AdmissionRequest, type ServiceCapacity,
} from './admission-policy.js';
import {costOf, ServiceQueue} from './service-queue.js';

/** Maximum number of requests that wait in one instance: at about 400 bytes each, under half a megabyte. */
export const queueLimitRequests = 1000;
/**
 * One of this many admitted requests is overnight work even while normal work waits, so that overnight work does not
 * starve.
 */
export const overnightInterval = 8;
const minRetryMilliseconds = 1000;
const maxRetryMilliseconds = 3_600_000;
const defaultCapacity: ServiceCapacity = {maxRequests: 8, maxUrgentRequests: 16};
/**
 * Time over which the rate of served work is averaged: long enough for ten overnight prompts, short enough to notice a
 * fault.
 */
const rateWindowMilliseconds = 20_000;

/** Weight of one request in the average time from admission to first token. */
const firstTokenWeight = 0.1;
/**
 * Time over which that average decays while no first token arrives. A high average can keep normal requests from being
 * admitted at all, and then nothing would correct it: a service that was slow once would refuse all normal work from then
 * on.
 */
const firstTokenDecayMilliseconds = 30_000;

type ServiceState = {
	queue: ServiceQueue;
	capacity: ServiceCapacity;
	running: number;
	runningUrgent: number;
	turn: number;
	/** Average time of normal requests from admission to first token, and when it was last updated. */
	firstTokenMilliseconds: number;
	firstTokenAt: number;
	/**
	 * Work that ended lately, decaying over `rateWindowMilliseconds`, when it was last updated, and since when it is
	 * counted.
	 */
	endedWork: number;
	endedAt: number;
	knownSince: number;
};

export class FairShareAdmission implements AdmissionPolicy {
	readonly #services = new Map<string, ServiceState>();
	readonly #running = new Map<string, {request: AdmissionRequest; admittedAt: number}>();

	arrive(request: AdmissionRequest, now: number): AdmissionAction[] {
		const service = this.#serviceOf(request.service, now);
		const wait = expectedWait(service, request, now);
		const start = request.priority === 'normal' ? firstTokenDelay(service, now) : 0;
		if (now + wait + start >= request.deadline) {
			const retry = Math.max(minRetryMilliseconds, now + wait - request.deadline);
			return [refuse(request, 'deadline', retry)];
		}

		service.queue.enqueue(request, now);
		return [...this.#boundQueue(now), ...this.#admit(service, now)];
	}

	firstToken(requestId: string, now: number): void {
		const running = this.#running.get(requestId);
		if (running?.request.priority === 'normal') {
			const service = this.#serviceOf(running.request.service, now);
			service.firstTokenMilliseconds += firstTokenWeight * (now - running.admittedAt - service.firstTokenMilliseconds);
			service.firstTokenAt = now;
		}
	}

	finish(requestId: string, now: number): AdmissionAction[] {
		const running = this.#running.get(requestId);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(requestId);
		const {request} = running;
		const service = this.#serviceOf(request.service, now);
		service.running -= request.priority === 'urgent' ? 0 : 1;
		service.runningUrgent -= request.priority === 'urgent' ? 1 : 0;
		service.endedWork = (service.endedWork * decayOf(now - service.endedAt)) + costOf(request);
		service.endedAt = now;
		return this.#admit(service, now);
	}

	cancel(requestId: string, now: number): AdmissionAction[] {
		for (const {queue} of this.#services.values()) {
			if (queue.remove(requestId)) {
				return [];
			}
		}

		return this.finish(requestId, now);
	}

	advance(now: number): AdmissionAction[] {
		return [...this.#services.values()].flatMap(service => {
			const late = service.queue.sweep(now, firstTokenDelay(service, now)).map(request => refuse(request, 'deadline', expectedWait(service, request, now)));
			return [...late, ...this.#admit(service, now)];
		});
	}

	setCapacity(service: string, capacity: ServiceCapacity, now: number): AdmissionAction[] {
		const known = this.#serviceOf(service, now);
		known.capacity = capacity;
		return this.#admit(known, now);
	}

	waiting(): readonly AdmissionRequest[] {
		return [...this.#services.values()].flatMap(({queue}) => queue.list());
	}

	#admit(service: ServiceState, now: number): AdmissionAction[] {
		const actions: AdmissionAction[] = [];
		for (let next = dequeueNext(service); next !== undefined; next = dequeueNext(service)) {
			this.#running.set(next.requestId, {request: next, admittedAt: now});
			service.running += next.priority === 'urgent' ? 0 : 1;
			service.runningUrgent += next.priority === 'urgent' ? 1 : 0;
			actions.push({kind: 'admit', requestId: next.requestId});
		}

		return actions;
	}

	/** Drops a request of the service with the longest queue if the instance's limit is exceeded. */
	#boundQueue(now: number): AdmissionAction[] {
		const services = [...this.#services.values()];
		const total = services.reduce((sum, {queue}) => sum + queue.size, 0);
		if (total <= queueLimitRequests) {
			return [];
		}

		const fullest = services.toSorted((left, right) => right.queue.size - left.queue.size)[0]!;
		const dropped = fullest.queue.dropFromLongest()!;
		return [refuse(dropped, 'overloaded', expectedWait(fullest, dropped, now))];
	}

	#serviceOf(name: string, now: number): ServiceState {
		let service = this.#services.get(name);
		if (service === undefined) {
			service = {
				queue: new ServiceQueue(), capacity: defaultCapacity, running: 0, runningUrgent: 0, turn: 0, firstTokenMilliseconds: 0, firstTokenAt: now, endedWork: 0, endedAt: now, knownSince: now,
			};
			this.#services.set(name, service);
		}

		return service;
	}
}

function dequeueNext(service: ServiceState): AdmissionRequest | undefined {
	const {queue, capacity} = service;
	if (queue.size === 0) {
		return undefined;
	}

	const urgent = service.runningUrgent < capacity.maxUrgentRequests ? queue.dequeue('urgent') : undefined;
	if (urgent !== undefined) {
		return urgent.request;
	}

	if (service.running >= capacity.maxRequests) {
		return undefined;
	}

	service.turn = (service.turn + 1) % overnightInterval;
	const first = service.turn === 0 ? 'overnight' : 'normal';
	const second = first === 'normal' ? 'overnight' : 'normal';
	return (queue.dequeue(first) ?? queue.dequeue(second))?.request;
}

/** Expected wait of a new request in milliseconds, from the work ahead of it and the rate at which work ended lately. */
function expectedWait(service: ServiceState, request: AdmissionRequest, now: number): number {
	if (request.priority === 'urgent' && service.runningUrgent < service.capacity.maxUrgentRequests) {
		return 0;
	}

	const window = Math.min(rateWindowMilliseconds, Math.max(1, now - service.knownSince));
	const rate = service.endedWork * decayOf(now - service.endedAt) / window;
	const ahead = service.queue.workAhead(request);
	return rate <= 0 || ahead === 0 ? 0 : ahead / rate;
}

/** Expected time from admission to first token of a normal request that is admitted now. */
function firstTokenDelay({firstTokenMilliseconds, firstTokenAt}: ServiceState, now: number): number {
	return firstTokenMilliseconds * Math.exp(-(now - firstTokenAt) / firstTokenDecayMilliseconds);
}

function decayOf(milliseconds: number): number {
	return Math.exp(-milliseconds / rateWindowMilliseconds);
}

function refuse(request: AdmissionRequest, reason: 'overloaded' | 'deadline', waitMilliseconds: number): AdmissionAction {
	const refusal: Refusal = {
		reason,
		ran: 'not-run',
		message: reason === 'deadline' ? 'the queue is longer than the deadline allows' : 'too many requests of this workspace are waiting',
		retryAfterMilliseconds: spreadRetry(Math.min(maxRetryMilliseconds, Math.max(minRetryMilliseconds, waitMilliseconds)), request.requestId),
	};
	return {kind: 'refuse', requestId: request.requestId, refusal};
}
