/**
 * The clock of engines and stores, as heard from one of them. Never told too far on: a time limit reckoned from it ends too
 * soon rather than too late, since the way of the news counts as not passed.
 */
export class EngineClock {
	#heard: {milliseconds: number; at: number} | undefined;

	/** Takes a reading, if there is one, that arrived at a time of the steady clock in milliseconds. */
	hear(milliseconds: number | undefined, now: number): void {
		if (milliseconds !== undefined) {
			this.#heard = {milliseconds, at: now};
		}
	}

	/** Milliseconds of the engines' clock; `undefined` if it was never heard. */
	at(now: number): number | undefined {
		return this.#heard === undefined ? undefined : this.#heard.milliseconds + (now - this.#heard.at);
	}

	/** Forgets what was heard. */
	forget(): void {
		this.#heard = undefined;
	}
}
