/**
 * When an instance looks into the table for changes: a reader often, the others seldom, and nobody in step. While the
 * table is away looks become rarer, so that its return is not met by all at once. Pure: time is an argument.
 */

/** Time between two looks of an instance that is no reader: 744 of them are 74 reads a second of the table's 2,000. */
export const seldomMilliseconds = 10_000;

/** The longest time between two looks of a reader while the table is away; a change then is still in force within 3 s. */
export const longestReaderMilliseconds = 2000;

const jitter = 0.2;
const seldomJitter = 0.5;

export class LookSchedule {
	readonly #usualMilliseconds: number;
	readonly #random: () => number;
	#lookedAt = Number.NEGATIVE_INFINITY;
	#failures = 0;
	/** A draw for each look, so that asking twice whether it is due does not move it. */
	#draw: number;

	/**
	 * @param usualMilliseconds - Time between two looks of a reader.
	 * @param random - Gives numbers from 0 up to 1, from a seeded generator.
	 */
	constructor(usualMilliseconds: number, random: () => number) {
		this.#usualMilliseconds = usualMilliseconds;
		this.#random = random;
		this.#draw = random();
	}

	/** Whether a look is due. */
	isDue(isReader: boolean, now: number): boolean {
		return now - this.#lookedAt >= this.#interval(isReader);
	}

	/** Notes a look. */
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
