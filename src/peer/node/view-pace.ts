/** Whole views go to a peer that has another one, but not too often: rumours under way explain most differences. */

const pauseMilliseconds = 2000;

export class ViewPace {
	readonly #random: () => number;
	readonly #sentAt = new Map<string, number>();

	/** @param random - Gives numbers from 0 up to 1, from a seeded generator. */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** Tells whether the view goes to a peer now; true counts as sent. The first difference only starts the pause. */
	takeTurn(peer: string, now: number): boolean {
		const sentAt = this.#sentAt.get(peer);
		if (sentAt === undefined) {
			this.#sentAt.set(peer, now - (pauseMilliseconds * this.#random()));
			return false;
		}

		const isDue = now - sentAt >= pauseMilliseconds;
		if (isDue) {
			this.#sentAt.set(peer, now);
		}

		return isDue;
	}

	/** Forgets a peer whose link ended. */
	forget(peer: string): void {
		this.#sentAt.delete(peer);
	}
}
