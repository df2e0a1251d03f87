/**
 * Returns the part of a wait that ends together with other periodic work; the rest is waited for only if it is still needed then.
 *
 * @param now - The present time, in milliseconds of the steady clock.
 * @param milliseconds - The whole wait.
 * @param intervalMilliseconds - The part ends on a multiple of this.
 * @returns Milliseconds; the whole wait if it ends before the next multiple.
 * @example alignedPart(1010, 250, 100) // 190
 */
export function alignedPart(now: number, milliseconds: number, intervalMilliseconds: number): number {
	const part = (Math.floor((now + milliseconds) / intervalMilliseconds) * intervalMilliseconds) - now;
	// A timer may fire a millisecond early, and the next part would end at the same multiple.
	return part > 1 ? part : milliseconds;
}
