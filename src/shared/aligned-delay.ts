/**
 * Delays of periodic work. Work with the same interval falls on the same multiples of it, so that an otherwise idle process
 * wakes up once for all of it.
 */

/** A timer may fire this early, and its work is then not due again. */
const timerToleranceMilliseconds = 1;

/**
 * Returns how long to wait for the next multiple of an interval.
 *
 * @param now - Milliseconds of the steady clock.
 * @param intervalMilliseconds - The interval, of at least a few milliseconds.
 * @returns Milliseconds, more than 1 and at most 1 more than the interval.
 * @example alignedDelay(1250, 400) // 350
 */
export function alignedDelay(now: number, intervalMilliseconds: number): number {
	const delay = intervalMilliseconds - (now % intervalMilliseconds);
	return delay <= timerToleranceMilliseconds ? delay + intervalMilliseconds : delay;
}
