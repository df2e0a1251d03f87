/**
 * The slots that the standby grants: the parts of those followers to which no coordinator grants slots. Each of them uses its
 * part through the standby only, so that the sum is that of equal parts, and follows the demand.
 */
import {reconnectMilliseconds, type SlotFollowers, type SlotPool} from './slot-pool.js';

export class StandbySlots implements SlotPool {
	#term: {number: number | undefined; since: number} = {number: undefined, since: 0};
	/** The most followers at a time in this term. */
	#instances = 0;

	share(term: number | undefined, followers: SlotFollowers, now: number): number {
		return this.canGrant(term, followers, now) ? Math.min(1, followers.lacking.size / this.#instances) : 0;
	}

	canGrant(term: number | undefined, {connected}: SlotFollowers, now: number): boolean {
		if (term !== this.#term.number) {
			this.#term = {number: term, since: now};
			this.#instances = 0;
		}

		this.#instances = Math.max(this.#instances, connected);
		return this.#instances > 0 && term !== undefined && now - this.#term.since >= reconnectMilliseconds;
	}

	users({lacking}: SlotFollowers): ReadonlySet<string> {
		return lacking;
	}
}
