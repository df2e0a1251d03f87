/** Bytes a second of a body that arrives as it should; also over a slow link. */
export const minBytesPerSecond = 65_536;
/** A body that has arrived faster may stand still for so long. */
export const bodyGraceMilliseconds = 500;

/**
 * Returns from when on a body that is arriving may lose its place to others. Bytes that arrive put this off, but not for longer than
 * the grace: a body that came fast and stops short of its end is due soon, and so is one that comes a few bytes at a time.
 *
 * @param dueAt - The present time, in milliseconds of the steady clock.
 * @param bytes - The bytes that have arrived.
 * @param now - When they have arrived, in milliseconds of the steady clock.
 */
export function arrivalDueAfter(dueAt: number, bytes: number, now: number): number {
	return Math.min(now + bodyGraceMilliseconds, dueAt + (1000 * bytes / minBytesPerSecond));
}
