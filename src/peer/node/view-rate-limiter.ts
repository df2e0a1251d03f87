/**
 * Limits how often the whole view is sent to a peer with a different one: most differences are resolved by gossip updates
 * in flight.
 */

const intervalMilliseconds = 2000;

export class ViewRateLimiter {
	readonly #random: () => number;
	readonly #sentAt = new Map<string, number>();

	/** @param random - Returns numbers from 0 up to 1, from a seeded generator. */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** Returns whether to send the view to a peer now; `true` counts as sent. The first difference only starts the interval. */
	tryAcquire(peer: string, now: number): boolean {
		const sentAt = this.#sentAt.get(peer);
		if (sentAt === undefined) {
			this.#sentAt.set(peer, now - (intervalMilliseconds * this.#random()));
			return false;
		}

		const isDue = now - sentAt >= intervalMilliseconds;
		if (isDue) {
			this.#sentAt.set(peer, now);
		}

		return isDue;
	}

	/** Removes the state of a peer whose link ended. */
	forget(peer: string): void {
		this.#sentAt.delete(peer);
	}
}
