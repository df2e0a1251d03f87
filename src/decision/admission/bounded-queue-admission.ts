/**
 * Baseline: a fixed number of concurrent requests per service, first come first served within a class, and a bounded
 * queue. It bounds the load at saturation but has no fair shares, so one workspace can take all of the capacity.
 */
import {type PriorityClass, type Refusal} from '../../shared/types.js';
import {
	type AdmissionAction, type AdmissionPolicy, type AdmissionRequest, type ServiceCapacity,
} from './admission-policy.js';

const queueLimitRequests = 1000;
const overloadedRetryMilliseconds = 1000;
const defaultCapacityRequests = 64;
const classes: readonly PriorityClass[] = ['urgent', 'normal', 'overnight'];

export class BoundedQueueAdmission implements AdmissionPolicy {
	readonly #capacity = new Map<string, number>();
	readonly #running = new Map<string, AdmissionRequest>();
	readonly #runningOfService = new Map<string, number>();
	#queue: AdmissionRequest[] = [];

	arrive(request: AdmissionRequest, now: number): AdmissionAction[] {
		if (this.#queue.length >= queueLimitRequests) {
			return [refuse(request, 'overloaded', 'too many requests are waiting')];
		}

		this.#queue.push(request);
		return this.advance(now);
	}

	firstToken(): void {
		// This policy does not depend on latency.
	}

	finish(requestId: string, now: number): AdmissionAction[] {
		const request = this.#running.get(requestId);
		if (request !== undefined) {
			this.#running.delete(requestId);
			this.#count(request.service, -1);
		}

		return this.advance(now);
	}

	cancel(requestId: string, now: number): AdmissionAction[] {
		this.#queue = this.#queue.filter(request => request.requestId !== requestId);
		return this.finish(requestId, now);
	}

	advance(now: number): AdmissionAction[] {
		const late = this.#queue.filter(request => request.deadline <= now);
		if (late.length > 0) {
			this.#queue = this.#queue.filter(request => request.deadline > now);
		}

		return [...late.map(request => refuse(request, 'deadline', 'the deadline passed while the request waited')), ...this.#admit()];
	}

	setCapacity(service: string, capacity: ServiceCapacity, now: number): AdmissionAction[] {
		this.#capacity.set(service, capacity.maxUrgentRequests);
		return this.advance(now);
	}

	waiting(): readonly AdmissionRequest[] {
		return this.#queue;
	}

	#admit(): AdmissionAction[] {
		const actions: AdmissionAction[] = [];
		for (const priority of classes) {
			for (const request of this.#queue) {
				if (request.priority === priority && this.#hasCapacity(request.service)) {
					this.#running.set(request.requestId, request);
					this.#count(request.service, 1);
					actions.push({kind: 'admit', requestId: request.requestId});
				}
			}
		}

		if (actions.length > 0) {
			this.#queue = this.#queue.filter(request => !this.#running.has(request.requestId));
		}

		return actions;
	}

	#hasCapacity(service: string): boolean {
		return (this.#runningOfService.get(service) ?? 0) < (this.#capacity.get(service) ?? defaultCapacityRequests);
	}

	#count(service: string, change: number): void {
		this.#runningOfService.set(service, (this.#runningOfService.get(service) ?? 0) + change);
	}
}

function refuse(request: AdmissionRequest, reason: 'overloaded' | 'deadline', message: string): AdmissionAction {
	const refusal: Refusal = {
		reason, ran: 'not-run', message, retryAfterMilliseconds: overloadedRetryMilliseconds,
	};
	return {kind: 'refuse', requestId: request.requestId, refusal};
}
