/**
 * How many requests a second are permitted to an endpoint that is warming up.
 *
 * The endpoint may end if it gets more within any second than its bound. A permit is used a moment after it is granted, and that
 * moment differs: a busy instance sends late. So requests of more than a second's permits may arrive within one second.
 */

/** The rate, and how many permits may accumulate while nobody asks. */
export type WarmUpRate = {permitsPerSecond: number; maxUnused: number};

/** By how much the times from permit to request differ, in seconds. */
const sendSpreadSeconds = 0.28;
/** Bounds from this one on leave room for two permits at once. */
const burstBound = 10;

/**
 * Returns the rate at which an endpoint may get requests.
 *
 * @param boundPerSecond - The most requests that it may get within any second, from all instances together.
 */
export function warmUpRate(boundPerSecond: number): WarmUpRate {
	const maxUnused = boundPerSecond >= burstBound ? 2 : 1;
	return {maxUnused, permitsPerSecond: Math.max(0, (boundPerSecond - maxUnused) / (1 + sendSpreadSeconds))};
}
