/** Which part of the slots of endpoints one coordinator may grant, so that the grants of all of them never exceed the slots. */

/** The instances that follow a coordinator. */
export type SlotFollowers = {
	connected: number;
	/** Those to which no coordinator grants slots. */
	lacking: ReadonlySet<string>;
};

/** A part of the slots of each endpoint. */
export interface SlotPool {
	/**
	 * Returns the part that may be granted, from 0 to 1.
	 *
	 * @param term - The term of the lease under which it would be granted; `undefined` without one.
	 * @param followers - The followers at present.
	 * @param now - Milliseconds of the steady clock.
	 */
	share(term: number | undefined, followers: SlotFollowers, now: number): number;
	/** Whether followers that lack slots are granted some, at the same time. */
	canGrant(term: number | undefined, followers: SlotFollowers, now: number): boolean;
	/** The instances whose requests use this part; `undefined` for all. */
	users(followers: SlotFollowers): ReadonlySet<string> | undefined;
}

/** Within this time after a new coordinator or standby took over, all instances have found it and reported their requests. */
export const reconnectMilliseconds = 1500;
