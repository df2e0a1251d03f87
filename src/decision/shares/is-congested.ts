/** Whether a service is congested, with hysteresis so that the state does not change with each fluctuation of the demand. */

/** Parts of the capacity at which congestion begins and ends. */
const beginsAbove = 0.95;
const endsBelow = 0.85;

/**
 * Decides whether a service is congested.
 *
 * @param wasCongested - Whether it was before.
 * @param requested - Requested calls a second.
 * @param capacity - Calls a second that its endpoints can serve; `undefined` while unknown, which ends congestion.
 */
export function isCongested(wasCongested: boolean, requested: number, capacity: number | undefined): boolean {
	return capacity !== undefined && (wasCongested ? requested >= endsBelow * capacity : requested > beginsAbove * capacity);
}
