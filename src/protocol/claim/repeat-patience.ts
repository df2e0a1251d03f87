/** How long, and at what pace, a repeat looks whether the first call under its key has ended. */

const patienceMilliseconds = 3000;
const firstPollMilliseconds = 25;
const longestPollMilliseconds = 400;

export class RepeatPatience {
	#until: number | undefined;
	#pollMilliseconds = firstPollMilliseconds;

	/**
	 * Gives the pause before the next look; each is twice as long as the one before, up to a limit.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns Milliseconds, or `undefined` once the patience is used up; it counts from the first call.
	 */
	nextPause(now: number): number | undefined {
		this.#until ??= now + patienceMilliseconds;
		if (now >= this.#until) {
			return undefined;
		}

		const milliseconds = this.#pollMilliseconds;
		this.#pollMilliseconds = Math.min(milliseconds * 2, longestPollMilliseconds);
		return milliseconds;
	}
}
