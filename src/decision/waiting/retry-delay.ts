import {maxSpread, spreadRetry} from '../limits/spread-retry.js';

/** Callers wait for `Retry-After` for up to this share of the time that they have left, and do not retry after a longer one. */
const maxShareOfRemaining = 1 / 3;

/** What the delay depends on; all in milliseconds. */
export type RetryDelayInputs = {
	/** Estimated time until there is room; `undefined` while it is unknown. */
	estimateMilliseconds: number | undefined;
	/** The delay where the estimate is unknown. */
	defaultMilliseconds: number;
	/** What the caller has left. */
	remainingMilliseconds: number;
};

/**
 * Computes `Retry-After` of a refused request: the time until there is room, spread, and short enough to be waited for.
 *
 * A delay that is bounded by the caller's time is spread downwards, since many callers reach that bound at once in a burst.
 *
 * @param inputs - The estimate, and the caller's time.
 * @param requestId - The refused request.
 * @returns Milliseconds.
 */
export function retryDelay({estimateMilliseconds, defaultMilliseconds, remainingMilliseconds}: RetryDelayInputs, requestId: string): number {
	const delay = estimateMilliseconds === undefined ? defaultMilliseconds : spreadRetry(estimateMilliseconds, requestId);
	const longest = spreadRetry(Math.max(0, remainingMilliseconds) * maxShareOfRemaining / maxSpread, requestId);
	return Math.min(delay, longest);
}
