import {hashOf} from '../../shared/hash-of.js';

const hashRange = 2 ** 32;
/**
 * Longest delay, as a multiple of the computed one. The shortest is the computed delay itself, so that no caller retries
 * too early.
 */
export const maxSpread = 1.5;

/**
 * Spreads the retries of refused callers over time.
 *
 * An outage or a full queue refuses many callers at the same moment. With the same delay, all of them would retry in the
 * same second and be refused again, and the wave would continue after the cause has ended. The delay depends on the
 * request's id, so that the same run gives the same delays.
 *
 * @param milliseconds - The computed delay.
 * @param requestId - The refused request.
 * @returns The delay, up to half as long again.
 */
export function spreadRetry(milliseconds: number, requestId: string): number {
	return Math.round(milliseconds * (1 + ((maxSpread - 1) * hashOf(requestId) / hashRange)));
}
