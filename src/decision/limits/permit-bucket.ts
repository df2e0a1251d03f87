/**
 * Grants permits for requests to an endpoint that has named a limit on requests a second from all instances together.
 *
 * One instance grants them for all. Fixed shares would waste the endpoint: at 1.2 a second over 18 instances, each could send one
 * request in 15 s, whether it has one or not.
 */

/**
 * Permits that accumulate while nobody asks. Few, since the endpoint is in need: it has to expect its limit, not a burst of all
 * that was left unused before.
 */
export const maxUnusedPermits = 2;

export class PermitBucket {
	#permits: number;
	#updatedAt: number;

	/**
	 * @param permits - Permits at the start.
	 * @param now - Milliseconds of the steady clock.
	 */
	constructor(permits: number, now: number) {
		this.#permits = permits;
		this.#updatedAt = now;
	}

	/**
	 * Takes one permit.
	 *
	 * @param ratePerSecond - Permits that are added a second.
	 * @param now - Milliseconds of the steady clock.
	 * @param maxUnused - Permits that may accumulate while nobody asks.
	 * @returns False if there is none.
	 */
	take(ratePerSecond: number, now: number, maxUnused = maxUnusedPermits): boolean {
		this.#permits = Math.min(maxUnused, this.#permits + (ratePerSecond * Math.max(0, now - this.#updatedAt) / 1000));
		this.#updatedAt = now;
		if (this.#permits < 1) {
			return false;
		}

		this.#permits--;
		return true;
	}
}
