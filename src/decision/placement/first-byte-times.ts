/**
 * How long the first bytes of a service's answers usually take, by its last answers. An endpoint that is slower than others may
 * be slow as usual: a fixed limit would cancel requests that are about to be answered.
 */

/** Enough for a quantile, and few enough to follow a service that turns slow within seconds. */
const maxTimes = 64;
/** A tenth of the answers may be slower: those of an endpoint that is failing must not count as usual. */
const usualShare = 0.9;

export class FirstByteTimes {
	readonly #times: number[] = [];
	#next = 0;

	/** Records the time from the sending of a request to the first byte of its answer, or to its cancellation. */
	observe(milliseconds: number): void {
		this.#times[this.#next] = milliseconds;
		this.#next = (this.#next + 1) % maxTimes;
	}

	/** The time within which most first bytes arrived, in milliseconds; 0 before the first one. */
	get usualMilliseconds(): number {
		const sorted = this.#times.toSorted((left, right) => left - right);
		return sorted[Math.ceil(usualShare * sorted.length) - 1] ?? 0;
	}
}
