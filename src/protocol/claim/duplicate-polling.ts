/** The schedule by which a duplicate call polls whether the first call with its key has ended. */

const timeoutMilliseconds = 3000;
const firstPollMilliseconds = 25;
const maxPollMilliseconds = 400;

export class DuplicatePolling {
	#until: number | undefined;
	#pollMilliseconds = firstPollMilliseconds;

	/**
	 * Returns the delay before the next poll. Each delay is twice as long as the previous one, up to a limit.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns Milliseconds, or `undefined` once the timeout, counted from the first call of this method, is over.
	 */
	nextDelay(now: number): number | undefined {
		this.#until ??= now + timeoutMilliseconds;
		if (now >= this.#until) {
			return undefined;
		}

		const milliseconds = this.#pollMilliseconds;
		this.#pollMilliseconds = Math.min(milliseconds * 2, maxPollMilliseconds);
		return milliseconds;
	}
}
