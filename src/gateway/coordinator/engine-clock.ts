/**
 * The common clock of engines and stores, from the last reading that one of them reported. It is never ahead of the true time,
 * since the transfer delay of the reading is not added: a time limit computed from it ends too soon rather than too late.
 */
export class EngineClock {
	#reading: {milliseconds: number; at: number} | undefined;

	/** Records a reading, if there is one, that arrived at a time of the steady clock in milliseconds. */
	record(milliseconds: number | undefined, now: number): void {
		if (milliseconds !== undefined) {
			this.#reading = {milliseconds, at: now};
		}
	}

	/** Milliseconds of the engines' clock; `undefined` without a reading. */
	at(now: number): number | undefined {
		return this.#reading === undefined ? undefined : this.#reading.milliseconds + (now - this.#reading.at);
	}

	clear(): void {
		this.#reading = undefined;
	}
}
