/**
 * The time limits that prevent an engine from reading a stored block while it is freed or rewritten.
 *
 * An instance uses a report of a store's content only for a limited time, counted from when it sent its query. An engine
 * discards a fetch that exceeds its time limit on the engines' clock. So a block that the cache store manager has withdrawn
 * can be read for at most the sum of both after the withdrawal.
 */

/** For how long an instance uses a report, counted from when it sent its query. */
export const reportValidityMilliseconds = 800;

/**
 * The time limit of a fetch; a fetch that exceeds it is discarded. A discarded fetch costs the caller the wait and the engine
 * the prefill, so the limit leaves time for the largest blocks to queue for a link. The delay before a withdrawn block is freed
 * grows with it.
 */
export const fetchTimeoutMilliseconds = 1600;

/** The time from a decision until the engines' clock is read for it, plus the error of that clock. */
const marginMilliseconds = 300;

/** How long after its withdrawal a block is neither freed nor rewritten. */
export const withdrawalMilliseconds = reportValidityMilliseconds + fetchTimeoutMilliseconds + marginMilliseconds;
