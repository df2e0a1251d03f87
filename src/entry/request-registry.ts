/** Registry of the requests at this instance, with which operators can list and cancel them. */
import {type PriorityClass} from '../shared/types.js';

/** A request that waits or runs at this instance. */
export type InFlightRequest = {
	requestId: string;
	workspace: string;
	service: string;
	priority: PriorityClass;
	arrivedAt: number;
	stage: 'waiting' | 'running';
	/** Cancels the request as if its caller had disconnected; absent for a call that may already have taken effect. */
	cancel?: () => void;
};

/** The outcome of an attempt to cancel a request. */
export type CancelOutcome = 'cancelled' | 'not-here' | 'cannot-be-cancelled';

export class RequestRegistry {
	readonly #requests = new Map<string, InFlightRequest>();

	/** Adds a request that has arrived. */
	begin(request: Omit<InFlightRequest, 'stage'>): void {
		this.#requests.set(request.requestId, {...request, stage: 'waiting'});
	}

	/** Notes that a request was admitted. */
	admit(requestId: string): void {
		const request = this.#requests.get(requestId);
		if (request !== undefined) {
			this.#requests.set(requestId, {...request, stage: 'running'});
		}
	}

	/** Removes a request that has been answered or whose caller has disconnected. */
	end(requestId: string): void {
		this.#requests.delete(requestId);
	}

	/** Returns all requests, oldest first. */
	list(): InFlightRequest[] {
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
