/**
 * Estimates how long ago a message was sent, from the sender's own steady clock.
 *
 * The clocks of two processes have nothing in common but their rate, so the age is what a message was delayed more than the
 * quickest one of its connection. The time on the way is left out, a few milliseconds at most between instances.
 */

/**
 * By how much the quickest delay may grow a millisecond, since two clocks differ in rate by up to 500 parts per million. Under
 * a lag of one minute, ages are estimated 30 ms too low.
 */
const maxDriftPerMillisecond = 0.0005;

export class MessageAge {
	/** The least difference between the receiver's and the sender's clock, and when it was last updated. */
	#least: {difference: number; at: number} | undefined;

	/**
	 * Records a message and returns its age.
	 *
	 * @param sentAt - When it was sent, in milliseconds of the sender's steady clock.
	 * @param now - Milliseconds of the receiver's steady clock.
	 * @returns Milliseconds, at least 0. The age of the first message is taken to be 0.
	 */
	note(sentAt: number, now: number): number {
		const difference = now - sentAt;
		const {difference: least, at} = this.#least ?? {difference, at: now};
		const updated = Math.min(difference, least + (maxDriftPerMillisecond * (now - at)));
		this.#least = {difference: updated, at: now};
		return difference - updated;
	}
}
