/**
 * The port to time for leases: a moment consists of two clock readings that fail in different ways. The steady clock stops
 * while a machine is suspended, and the time of day may jump. Code that must not underestimate a time span uses the longer
 * of both.
 */

/** Both readings, in milliseconds. `steady` counts from an arbitrary start, `wall` since the epoch. */
export type Moment = {
	steady: number;
	wall: number;
};

/** A clock with both readings. */
export interface MomentClock {
	moment(): Moment;
	/** Resolves after the given time, or at once when the signal aborts. */
	sleep(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/**
 * Returns the longest time that can have passed between two moments.
 *
 * @param start - The earlier moment.
 * @param now - The present moment.
 * @returns Milliseconds, at least 0.
 */
export function longestElapsed(start: Moment, now: Moment): number {
	return Math.max(0, now.steady - start.steady, now.wall - start.wall);
}
