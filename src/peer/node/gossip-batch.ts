/** Collects gossip updates for a short time, so that a rack's failure or a data centre's start is one message and not dozens. */
import {type MemberUpdate} from '../message/peer-message.js';

const delayMilliseconds = 25;

export class GossipBatch {
	readonly #updates = new Map<string, MemberUpdate>();
	#dueAt = Number.POSITIVE_INFINITY;

	/** When the batch is to be sent; infinite while it is empty. */
	get dueAt(): number {
		return this.#dueAt;
	}

	/** Adds an update, which replaces an earlier one about the same member. */
	add(update: MemberUpdate, now: number): void {
		this.#updates.set(update.name, update);
		this.#dueAt = Math.min(this.#dueAt, now + delayMilliseconds);
	}

	/** Returns the updates once they are due, and empties the batch; returns none before. */
	takeDue(now: number): MemberUpdate[] {
		if (now < this.#dueAt) {
			return [];
		}

		const due = [...this.#updates.values()];
		this.#updates.clear();
		this.#dueAt = Number.POSITIVE_INFINITY;
		return due;
	}
}
