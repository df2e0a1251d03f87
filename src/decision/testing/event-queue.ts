/** Runs callbacks in the order of their virtual times. */
export class EventQueue {
	now = 0;
	readonly #events: Array<{at: number; run: () => void}> = [];

	at(at: number, run: () => void): void {
		let low = 0;
		let high = this.#events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			// The events are stored in descending order, so that the next one is taken from the end.
			if (this.#events[middle]!.at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#events.splice(low, 0, {at, run});
	}

	/** Runs all events up to a time. */
	run(until: number): void {
		while ((this.#events.at(-1)?.at ?? Number.POSITIVE_INFINITY) <= until) {
			const {at, run} = this.#events.pop()!;
			this.now = at;
			run();
		}
	}
}
