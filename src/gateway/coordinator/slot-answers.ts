/** Answers the followers of a coordinator, or of its standby, that ask for slots of endpoints. */
import {type LoadTotals} from './load-totals.js';
import {SlotGrants, type SlotReport} from './slot-grants.js';
import {type SlotPool} from './slot-pool.js';

/** When a question is answered, and by whom. */
export type SlotMoment = {
	/** The term of the lease under which slots are granted; `undefined` without one. */
	term: number | undefined;
	/** How many followers are connected. */
	connected: number;
	/** Milliseconds of the steady clock. */
	now: number;
};

/** A question for one slot, with its number at the instance that asks. */
export type SlotQuestion = {endpoint: string; slots: number; instance: string; number: number};

export class SlotAnswers {
	readonly #pool: SlotPool;
	readonly #loads: LoadTotals;
	readonly #grants = new SlotGrants();
	readonly #lacking = new Set<string>();

	constructor(pool: SlotPool, loads: LoadTotals) {
		this.#pool = pool;
		this.#loads = loads;
	}

	/**
	 * Records a report of an instance.
	 *
	 * @param instance - The instance.
	 * @param report - What it says of its slots, and whether no coordinator grants it any.
	 * @param now - Milliseconds of the steady clock.
	 */
	noteReport(instance: string, {lacksSlots, ...report}: SlotReport & {lacksSlots: boolean}, now: number): void {
		if (lacksSlots) {
			this.#lacking.add(instance);
		} else {
			this.#lacking.delete(instance);
		}

		this.#grants.noteReport(instance, report, now);
	}

	/** Forgets an instance that follows no more. */
	remove(instance: string): void {
		this.#lacking.delete(instance);
	}

	/** Whether slots can be granted at present, to an instance that gets them from nobody else. */
	canGrant({term, connected, now}: SlotMoment): boolean {
		return this.#pool.canGrant(term, {connected, lacking: this.#lacking}, now);
	}

	/** Whether a slot is granted; `undefined` if none can be granted at present. */
	answer(question: SlotQuestion, {term, connected, now}: SlotMoment): boolean | undefined {
		const followers = {connected, lacking: this.#lacking};
		const users = this.#pool.users(followers);
		const slots = Math.floor(question.slots * this.#pool.share(term, followers, now));
		if (slots === 0 || users?.has(question.instance) === false) {
			return undefined;
		}

		return this.#grants.take({...question, slots}, this.#loads.requestsAt(question.endpoint, users), now);
	}
}
