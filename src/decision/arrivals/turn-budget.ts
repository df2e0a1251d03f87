/**
 * Decides which connections are read in a turn of the event loop. Chunks of a few bytes cost so much time for each byte that a few
 * connections could occupy the loop for seconds; what they send is read a part at a time, and all other work goes on in between.
 */

/** A connection on which a request arrives. */
export type TurnUser = {
	/** The time that its bytes have taken so far. */
	spentMilliseconds: number;
};

/** Time for the bytes of requests that are arriving, in one turn. */
export const turnMilliseconds = 15;
/** How many connections are read again in a turn. */
export const readsPerTurn = 4;

export class TurnBudget<User extends TurnUser> {
	#spentMilliseconds = 0;
	/** In the order in which they were held back. */
	readonly #heldBack = new Set<User>();

	/** Whether no more time is left in this turn. */
	get isSpent(): boolean {
		return this.#spentMilliseconds >= turnMilliseconds;
	}

	/** Whether a connection is not read at present. */
	isHeldBack(user: User): boolean {
		return this.#heldBack.has(user);
	}

	/** How many connections are not read at present. */
	get heldBack(): number {
		return this.#heldBack.size;
	}

	/** Counts time that the bytes of a connection have taken. */
	spend(user: User, milliseconds: number): void {
		this.#spentMilliseconds += milliseconds;
		user.spentMilliseconds += milliseconds;
	}

	/** Records that a connection is not read until its turn comes. */
	holdBack(user: User): void {
		this.#heldBack.add(user);
	}

	/** Records that a connection has closed, or must not be held back. */
	forget(user: User): void {
		this.#heldBack.delete(user);
	}

	/**
	 * Begins the next turn.
	 *
	 * @returns The connections that are read again: those that have taken least time so far, and of these the newest, since a caller that is
	 *   not read soon goes elsewhere.
	 */
	nextTurn(): User[] {
		this.#spentMilliseconds = 0;
		const resumed = [...this.#heldBack].toReversed().toSorted((left, right) => left.spentMilliseconds - right.spentMilliseconds).slice(0, readsPerTurn);
		for (const user of resumed) {
			this.#heldBack.delete(user);
		}

		return resumed;
	}
}
