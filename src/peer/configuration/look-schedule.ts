/**
 * Schedules when an instance polls the table for configuration changes: often if it is a reader, rarely otherwise, and with
 * jitter. While the table is unavailable the intervals grow, so that not all instances poll at its return. Time is an
 * argument.
 */

/** Mean time between two polls of a non-reader: 744 such instances make 74 reads a second, of 2,000 that the table serves. */
export const seldomMilliseconds = 10_000;

/** Maximum time between two polls of a reader while the table is unavailable; after it a change is in force within 3 s. */
export const longestReaderMilliseconds = 2000;

const jitter = 0.2;
const seldomJitter = 0.5;

export class LookSchedule {
	readonly #usualMilliseconds: number;
	readonly #random: () => number;
	#lookedAt = Number.NEGATIVE_INFINITY;
	#failures = 0;
	/** One random number for each poll, so that repeated checks whether it is due agree. */
	#draw: number;

	/**
	 * @param usualMilliseconds - Time between two polls of a reader while the table is available.
	 * @param random - Returns numbers from 0 up to 1, from a seeded generator.
	 */
	constructor(usualMilliseconds: number, random: () => number) {
		this.#usualMilliseconds = usualMilliseconds;
		this.#random = random;
		this.#draw = random();
	}

	/** Whether a poll is due. */
	isDue(isReader: boolean, now: number): boolean {
		return now - this.#lookedAt >= this.#interval(isReader);
	}

	/** Notes a poll and whether the table answered. */
	looked(isAnswered: boolean, now: number): void {
		this.#lookedAt = now;
		this.#failures = isAnswered ? 0 : this.#failures + 1;
		this.#draw = this.#random();
	}

	#interval(isReader: boolean): number {
		if (!isReader) {
			return seldomMilliseconds * (1 - seldomJitter + (2 * seldomJitter * this.#draw));
		}

		const usual = this.#usualMilliseconds * (2 ** Math.min(this.#failures, 10));
		return Math.min(Math.max(longestReaderMilliseconds, this.#usualMilliseconds), usual) * (1 - (jitter * this.#draw));
	}
}
