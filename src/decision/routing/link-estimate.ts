/**
 * Estimates how long a fetch over a store's limited link will take, from this instance's own fetches.
 *
 * Many prompts may return at once to prefixes in one store. The link serves all instances, and only the time of an
 * instance's own fetches shows how congested it is. Without this estimate every instance fetches because a fetch is cheap
 * on an idle link, and all wait longer than recomputing would have taken.
 */

/** Time over which the congestion seen by the last fetches decays: a few fetches' time. */
const decayMilliseconds = 2000;
const sampleWeight = 0.5;

export class LinkEstimate {
	/** Time that a block takes on an idle link. */
	readonly idleMilliseconds: number;
	#extra = 0;
	#sampledAt = 0;

	constructor(idleMilliseconds: number) {
		this.idleMilliseconds = idleMilliseconds;
	}

	/** Expected time to fetch this many blocks, in milliseconds. */
	fetchMilliseconds(blocks: number, now: number): number {
		return blocks * (this.idleMilliseconds + this.#decayedExtra(now));
	}

	/** How many times longer a block takes than on an idle link; 1 when it is idle. */
	slownessAt(now: number): number {
		return 1 + (this.#decayedExtra(now) / this.idleMilliseconds);
	}

	/** Adds the sample of a fetch that has ended. Its own pauses between blocks do not count. */
	observe(blocks: number, linkMilliseconds: number, now: number): void {
		if (blocks === 0) {
			return;
		}

		const extra = Math.max(0, (linkMilliseconds / blocks) - this.idleMilliseconds);
		const before = this.#decayedExtra(now);
		this.#extra = before + (sampleWeight * (extra - before));
		this.#sampledAt = now;
	}

	#decayedExtra(now: number): number {
		return this.#extra * Math.exp(-(now - this.#sampledAt) / decayMilliseconds);
	}
}
