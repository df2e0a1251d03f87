/**
 * Schedules when an instance polls the table for configuration changes: often if it is a reader, rarely otherwise, and with
 * jitter. While the table is unavailable the intervals grow, so that not all instances poll at its return. Time is an
 * argument.
 */

/** Mean time between two polls of a non-reader: 744 such instances make 74 reads a second, of 2,000 that the table serves. */
export const nonReaderIntervalMilliseconds = 10_000;

/** Maximum time between two polls of a reader while the table is unavailable; after it a change is in force within 3 s. */
export const maxReaderIntervalMilliseconds = 2000;

const jitter = 0.2;
const nonReaderJitter = 0.5;

export class PollSchedule {
	readonly #readerIntervalMilliseconds: number;
	readonly #random: () => number;
	#polledAt = Number.NEGATIVE_INFINITY;
	#failures = 0;
	/** One random number for each poll, so that repeated checks whether it is due agree. */
	#randomNumber: number;

	/**
	 * @param readerIntervalMilliseconds - Time between two polls of a reader while the table is available.
	 * @param random - Returns numbers from 0 up to 1, from a seeded generator.
	 */
	constructor(readerIntervalMilliseconds: number, random: () => number) {
		this.#readerIntervalMilliseconds = readerIntervalMilliseconds;
		this.#random = random;
		this.#randomNumber = random();
	}

	/** Whether a poll is due. */
	isDue(isReader: boolean, now: number): boolean {
		return now - this.#polledAt >= this.#interval(isReader);
	}

	/** Notes a poll and whether the table answered. */
	notePoll(isAnswered: boolean, now: number): void {
		this.#polledAt = now;
		this.#failures = isAnswered ? 0 : this.#failures + 1;
		this.#randomNumber = this.#random();
	}

	#interval(isReader: boolean): number {
		if (!isReader) {
			return nonReaderIntervalMilliseconds * (1 - nonReaderJitter + (2 * nonReaderJitter * this.#randomNumber));
		}

		// The intervals grow from the second failure on: a single poll that times out must not delay a change beyond 3 s.
		const backoff = this.#readerIntervalMilliseconds * (2 ** Math.min(Math.max(0, this.#failures - 1), 10));
		return Math.min(Math.max(maxReaderIntervalMilliseconds, this.#readerIntervalMilliseconds), backoff) * (1 - (jitter * this.#randomNumber));
	}
}
