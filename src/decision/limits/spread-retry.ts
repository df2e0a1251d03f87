import {hashOf} from '../../shared/hash-of.js';

const hashRange = 2 ** 32;
/** The longest wait told, as a share of the wait worked out; the shortest is the wait itself, which is never too soon. */
const mostSpread = 1.5;

/**
 * Spreads the time at which refused callers come back.
 *
 * Load it answers: an outage or a full queue that refuses many callers at the same moment. Told the same time, they all
 * come back in the same second and are refused again, and the wave goes on after the cause has ended. The spread is
 * decided by the request's id, so that the same run gives the same times.
 *
 * @param milliseconds - The wait that was worked out.
 * @param requestId - Whose wait.
 * @returns From the wait up to half as long again.
 */
export function spreadRetry(milliseconds: number, requestId: string): number {
	return Math.round(milliseconds * (1 + ((mostSpread - 1) * hashOf(requestId) / hashRange)));
}
