/**
 * The port to time. Only shells read it; a function that decides takes the present time as an argument.
 */

/** A clock. */
export interface Clock {
	/** Milliseconds since the epoch. */
	now(): number;
	/** Resolves after the given time, or at once when the signal aborts. */
	sleep(milliseconds: number, signal: AbortSignal): Promise<void>;
}
