/** Rumours wait a moment, so that a rack that dies, or a data centre that starts, is one message and not dozens. */
import {type MemberRumour} from '../message/peer-message.js';

const delayMilliseconds = 25;

export class RumourBatch {
	readonly #rumours = new Map<string, MemberRumour>();
	#dueAt = Number.POSITIVE_INFINITY;

	/** When the rumours are to be sent. */
	get dueAt(): number {
		return this.#dueAt;
	}

	/** Adds a rumour; the newest one of a member counts. */
	add(rumour: MemberRumour, now: number): void {
		this.#rumours.set(rumour.name, rumour);
		this.#dueAt = Math.min(this.#dueAt, now + delayMilliseconds);
	}

	/** Gives the rumours once they are due, and forgets them; none before. */
	takeDue(now: number): MemberRumour[] {
		if (now < this.#dueAt) {
			return [];
		}

		const due = [...this.#rumours.values()];
		this.#rumours.clear();
		this.#dueAt = Number.POSITIVE_INFINITY;
		return due;
	}
}
