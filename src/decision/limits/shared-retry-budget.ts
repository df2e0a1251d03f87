/**
 * Limits the retries at a service, for all instances together without a shared counter.
 *
 * Endpoints may fail much of what they get. If every instance retried freely, a service that is already short of capacity
 * would get a multiple of its load. The deployment allows a share of the requests as retries in each window. Each
 * instance takes that share of the requests that it sent itself, so the sum over all instances keeps the limit, however
 * many there are and however unevenly the requests are spread over them.
 */

/** What a deployment allows. */
export type RetryBounds = {
	/** Retries per request, in a window. */
	ratio: number;
	windowMilliseconds: number;
};

/** Share of the allowed retries that is used: endpoints count arrivals a little later than the sends are counted here. */
const usedShare = 0.8;
/**
 * Retries that an instance may make in a window without requests to earn them. Deployments allow two or more extra for
 * each instance; with one, there is room for instances that join.
 */
const freeRetries = 1;
/** The window is counted in slices, so that old counts expire in small steps. */
const slices = 10;

type Slice = {number: number; requests: number; retries: number};

export class SharedRetryBudget {
	readonly #bounds: RetryBounds;
	readonly #slices = new Map<string, Slice[]>();

	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
	}

	/** Counts a request's first send to a service; `now` is in milliseconds of the steady clock. */
	countRequest(service: string, now: number): void {
		this.#sliceAt(service, now).requests++;
	}

	/** Whether a retry is left. */
	hasRetry(service: string, now: number): boolean {
		this.#sliceAt(service, now);
		const slicesInWindow = this.#slices.get(service) ?? [];
		const requests = slicesInWindow.reduce((sum, slice) => sum + slice.requests, 0);
		const retries = slicesInWindow.reduce((sum, slice) => sum + slice.retries, 0);
		return retries + 1 <= (usedShare * this.#bounds.ratio * requests) + freeRetries;
	}

	/**
	 * Takes one retry.
	 *
	 * @param service - The service to retry at.
	 * @param now - Milliseconds of the steady clock.
	 * @returns False if none is left.
	 */
	takeRetry(service: string, now: number): boolean {
		const slice = this.#sliceAt(service, now);
		if (!this.hasRetry(service, now)) {
			return false;
		}

		slice.retries++;
		return true;
	}

	#sliceAt(service: string, now: number): Slice {
		const number = Math.floor(now * slices / this.#bounds.windowMilliseconds);
		const slicesInWindow = (this.#slices.get(service) ?? []).filter(slice => slice.number > number - slices);
		let slice = slicesInWindow.find(one => one.number === number);
		if (slice === undefined) {
			slice = {number, requests: 0, retries: 0};
			slicesInWindow.push(slice);
		}

		this.#slices.set(service, slicesInWindow);
		return slice;
	}
}
