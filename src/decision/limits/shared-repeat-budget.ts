/**
 * Repeats at a service, bounded for all instances together without a counter that they share.
 *
 * Load it answers: endpoints that fail much of what they get. Every instance then repeats, and the service, already short
 * of room, gets a multiple of its load. The deployment allows a share of the requests as repeats in each window. Each
 * instance takes that share of the requests that it sent itself; the sum over all instances then keeps the bound,
 * whatever their number and however uneven the requests fall on them.
 */

/** What a deployment allows. */
export type RepeatBounds = {
	/** Repeats for each request, in a window. */
	ratio: number;
	windowMilliseconds: number;
};

/** The part of the allowed share that is used: arrivals are counted at the endpoint, a little later than the sends here. */
const usedShare = 0.8;
/**
 * Repeats that an instance may make in a window without requests to earn them. Deployments allow an extra of two or more
 * for each instance; one leaves room for instances that join.
 */
const freeRepeats = 1;
/** The window is counted in slices, so that what is too old falls out in small steps. */
const slices = 10;

type Slice = {number: number; requests: number; repeats: number};

export class SharedRepeatBudget {
	readonly #bounds: RepeatBounds;
	readonly #slices = new Map<string, Slice[]>();

	constructor(bounds: RepeatBounds) {
		this.#bounds = bounds;
	}

	/** Counts a request's first send to a service, at a time of the steady clock in milliseconds. */
	countRequest(service: string, now: number): void {
		this.#sliceAt(service, now).requests++;
	}

	/**
	 * Takes one repeat.
	 *
	 * @param service - Where it would go.
	 * @param now - Milliseconds of the steady clock.
	 * @returns False if none is left.
	 */
	takeRepeat(service: string, now: number): boolean {
		const slice = this.#sliceAt(service, now);
		const known = this.#slices.get(service) ?? [];
		const requests = known.reduce((sum, part) => sum + part.requests, 0);
		const repeats = known.reduce((sum, part) => sum + part.repeats, 0);
		if (repeats + 1 > (usedShare * this.#bounds.ratio * requests) + freeRepeats) {
			return false;
		}

		slice.repeats++;
		return true;
	}

	#sliceAt(service: string, now: number): Slice {
		const number = Math.floor(now * slices / this.#bounds.windowMilliseconds);
		const known = (this.#slices.get(service) ?? []).filter(slice => slice.number > number - slices);
		let slice = known.find(one => one.number === number);
		if (slice === undefined) {
			slice = {number, requests: 0, repeats: 0};
			known.push(slice);
		}

		this.#slices.set(service, known);
		return slice;
	}
}
