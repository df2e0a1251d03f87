/**
 * The port to the time of day. Only code that performs input and output reads it; a function that makes decisions gets the
 * present time as an argument.
 */

/** A clock. */
export interface Clock {
	/** Milliseconds since the epoch. */
	now(): number;
	/** Resolves after the given time, or at once when the signal aborts. */
	sleep(milliseconds: number, signal: AbortSignal): Promise<void>;
}
