/** A timer may fire a millisecond early, and may not be set for less than one. */
const minWaitMilliseconds = 2;

/**
 * Returns when to do work that is due at a time, so that it shares its wake-up with other periodic work.
 *
 * @param time - When the work is due, in milliseconds of the steady clock; may be infinite.
 * @param now - The present time, in milliseconds of the steady clock.
 * @param intervalMilliseconds - The result is a multiple of this.
 * @returns The first multiple from that time on that a timer can still wait for; infinite if the time is.
 * @example alignedTime(1250, 1000, 100) // 1300
 */
export function alignedTime(time: number, now: number, intervalMilliseconds: number): number {
	return Math.ceil(Math.max(time, now + minWaitMilliseconds) / intervalMilliseconds) * intervalMilliseconds;
}
