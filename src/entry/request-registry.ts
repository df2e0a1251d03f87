/** The requests under way at this instance, so that operators can see and cancel them. */
import {type PriorityClass} from '../shared/types.js';

/** A request under way. */
export type RequestUnderWay = {
	requestId: string;
	workspace: string;
	service: string;
	priority: PriorityClass;
	arrivedAt: number;
	stage: 'waiting' | 'running';
	/** Ends the request as if its caller had hung up; absent for a call that may have had its effect already. */
	cancel?: () => void;
};

/** What came of the wish to cancel a request. */
export type CancelOutcome = 'cancelled' | 'not-here' | 'cannot-be-cancelled';

export class RequestRegistry {
	readonly #requests = new Map<string, RequestUnderWay>();

	/** Notes a request that arrived. */
	begin(request: Omit<RequestUnderWay, 'stage'>): void {
		this.#requests.set(request.requestId, {...request, stage: 'waiting'});
	}

	/** Notes that a request was let in. */
	admit(requestId: string): void {
		const request = this.#requests.get(requestId);
		if (request !== undefined) {
			this.#requests.set(requestId, {...request, stage: 'running'});
		}
	}

	/** Notes that a request has its answer. */
	end(requestId: string): void {
		this.#requests.delete(requestId);
	}

	/** All requests under way, oldest first. */
	list(): RequestUnderWay[] {
		return [...this.#requests.values()];
	}

	/** Cancels a request. */
	cancel(requestId: string): CancelOutcome {
		const request = this.#requests.get(requestId);
		if (request === undefined) {
			return 'not-here';
		}

		if (request.cancel === undefined) {
			return 'cannot-be-cancelled';
		}

		request.cancel();
		return 'cancelled';
	}
}
