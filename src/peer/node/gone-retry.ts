/** After a cut both sides hold each other gone and are silent; one try now and then finds the end of it. */
import {type Member} from '../membership/membership.js';

const retryMilliseconds = 2000;

export class GoneRetry {
	readonly #random: () => number;
	#nextAt = 0;
	#name = '';

	/** @param random - Gives numbers from 0 up to 1, from a seeded generator. */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** The member that is tried now; empty for none. */
	get name(): string {
		return this.#name;
	}

	/** Chooses another one when it is time. */
	tick(goneMembers: () => readonly Member[], now: number): void {
		if (now < this.#nextAt) {
			return;
		}

		this.#nextAt = now + (retryMilliseconds * (0.5 + this.#random()));
		const gone = goneMembers();
		this.#name = gone[Math.floor(this.#random() * gone.length)]?.name ?? '';
	}
}
