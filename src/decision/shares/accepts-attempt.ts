import {hashOf} from '../../shared/hash-of.js';

const hashRange = 2 ** 32;

/**
 * Decides by a hash of the attempt's id whether a call is accepted. Instances need no state for it, and the accepted part is
 * the same however calls are spread over them.
 *
 * @param attemptId - The id of the caller's attempt.
 * @param fraction - The part of all calls to accept, from 0 to 1.
 */
export function acceptsAttempt(attemptId: string, fraction: number): boolean {
	// The prefix makes it independent of other decisions by the same id, such as the spread of retries.
	return hashOf(`share ${attemptId}`) < fraction * hashRange;
}
