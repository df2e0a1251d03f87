/**
 * The slots that the coordinator grants.
 *
 * All of them where no other coordinator may grant the same ones and all instances have reported their requests. Otherwise as many
 * as its followers would have together if each used only its own part: another coordinator may be granting slots to the other
 * instances. Within that sum, the slots still follow the demand.
 */
import {reconnectMilliseconds, type SlotFollowers, type SlotPool} from './slot-pool.js';

export class GrantableSlots implements SlotPool {
	#term: {number: number | undefined; since: number} = {number: undefined, since: 0};
	/** The most followers at a time since this instance could grant all slots; 0 before. */
	#instances = 0;
	#countedTerm: number | undefined;

	share(term: number | undefined, {connected}: SlotFollowers, now: number): number {
		if (term !== this.#term.number) {
			this.#term = {number: term, since: now};
		}

		if (term !== undefined && now - this.#term.since >= reconnectMilliseconds) {
			this.#instances = Math.max(connected, this.#countedTerm === term ? this.#instances : 0);
			this.#countedTerm = term;
			return 1;
		}

		return this.#instances === 0 ? 0 : Math.min(1, connected / this.#instances);
	}

	canGrant(term: number | undefined, followers: SlotFollowers, now: number): boolean {
		return this.share(term, followers, now) > 0;
	}

	users(): undefined {
		return undefined;
	}
}
