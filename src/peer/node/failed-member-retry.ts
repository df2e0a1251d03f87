/**
 * Chooses one failed member at a time to be dialled. After a network partition both sides count each other as failed and
 * send nothing; an occasional attempt detects that the partition has ended.
 */
import {type Member} from '../membership/membership.js';

const retryMilliseconds = 2000;

export class FailedMemberRetry {
	readonly #random: () => number;
	#nextAt = 0;
	#name = '';

	/** @param random - Returns numbers from 0 up to 1, from a seeded generator. */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** The name of the member to dial now; empty for none. */
	get name(): string {
		return this.#name;
	}

	/** Chooses another member when the interval has passed. */
	tick(failedMembers: () => readonly Member[], now: number): void {
		if (now < this.#nextAt) {
			return;
		}

		this.#nextAt = now + (retryMilliseconds * (0.5 + this.#random()));
		const candidates = failedMembers();
		this.#name = candidates[Math.floor(this.#random() * candidates.length)]?.name ?? '';
	}
}
