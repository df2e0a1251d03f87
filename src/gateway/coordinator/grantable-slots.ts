/**
 * How many slots of an endpoint a coordinator may grant to its followers.
 *
 * All of them where no other coordinator may grant the same ones and all instances have reported their requests. Otherwise as many
 * as its followers would have together if each used only its own part: another coordinator may be granting slots to the other
 * instances. Within that sum, the slots still follow the demand.
 */

/** Within this time after a new coordinator took over, all instances have found it and reported their requests. */
const reconnectMilliseconds = 1500;

export class GrantableSlots {
	#term: {number: number | undefined; since: number} = {number: undefined, since: 0};
	/** The most followers at a time since this instance could grant all slots; 0 before. */
	#instances = 0;
	#countedTerm: number | undefined;

	/**
	 * Returns the slots that may be granted.
	 *
	 * @param slots - The slots of the endpoint.
	 * @param term - The term in which this instance alone may grant; `undefined` if it may not.
	 * @param followers - Followers that are connected.
	 * @param now - Milliseconds of the steady clock.
	 * @returns 0 if it may grant none.
	 */
	of(slots: number, term: number | undefined, followers: number, now: number): number {
		if (term !== this.#term.number) {
			this.#term = {number: term, since: now};
		}

		if (term !== undefined && now - this.#term.since >= reconnectMilliseconds) {
			this.#instances = Math.max(followers, this.#countedTerm === term ? this.#instances : 0);
			this.#countedTerm = term;
			return slots;
		}

		return this.#instances === 0 ? 0 : Math.floor(slots * Math.min(1, followers / this.#instances));
	}
}
