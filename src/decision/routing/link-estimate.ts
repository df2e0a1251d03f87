/**
 * How long a fetch over a store's limited link will take, from this instance's own fetches.
 *
 * Load it answers: many prompts that return at once to prefixes in one store. The link serves all instances, and only
 * the time of the own fetches tells how crowded it is. Without it everybody fetches because a fetch is cheap on an idle
 * link, and all wait longer than recomputing would have taken.
 */

/** The crowd seen by the last fetches is believed for about this long: a few fetches' time. */
const memoryMilliseconds = 2000;
const sampleWeight = 0.5;

export class LinkEstimate {
	/** Milliseconds of an idle link that a piece takes. */
	readonly idleMilliseconds: number;
	#extra = 0;
	#extraAt = 0;

	constructor(idleMilliseconds: number) {
		this.idleMilliseconds = idleMilliseconds;
	}

	/** Expected milliseconds until so many pieces are here. */
	fetchMilliseconds(pieces: number, now: number): number {
		return pieces * (this.idleMilliseconds + this.#extraAtTime(now));
	}

	/** Times that a piece takes longer than on an idle link; 1 when it is idle. */
	slownessAt(now: number): number {
		return 1 + (this.#extraAtTime(now) / this.idleMilliseconds);
	}

	/** A fetch ended. Its own rests between pieces do not count. */
	observe(pieces: number, linkMilliseconds: number, now: number): void {
		if (pieces === 0) {
			return;
		}

		const extra = Math.max(0, (linkMilliseconds / pieces) - this.idleMilliseconds);
		const before = this.#extraAtTime(now);
		this.#extra = before + (sampleWeight * (extra - before));
		this.#extraAt = now;
	}

	#extraAtTime(now: number): number {
		return this.#extra * Math.exp(-(now - this.#extraAt) / memoryMilliseconds);
	}
}
