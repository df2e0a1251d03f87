/** Remembers how long a connection to each endpoint is kept idle, as of its last response. */

/** How many endpoints are remembered; the one that has not responded for the longest is dropped first. */
const maxEndpoints = 1000;

export class KeptTimes {
	readonly #milliseconds = new Map<string, number>();

	/** Records for how long a connection to an address is kept idle; 0 if it is not kept. */
	note(address: string, milliseconds: number): void {
		this.#milliseconds.delete(address);
		this.#milliseconds.set(address, milliseconds);
		if (this.#milliseconds.size > maxEndpoints) {
			this.#milliseconds.delete(this.#milliseconds.keys().next().value!);
		}
	}

	/** The time for an address in milliseconds; `undefined` if it has not responded. */
	of(address: string): number | undefined {
		return this.#milliseconds.get(address);
	}
}
