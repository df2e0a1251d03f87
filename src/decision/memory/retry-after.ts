/** Computes when the caller of a body that was refused for lack of memory may try again. */
import {hashOf} from '../../shared/hash-of.js';

/** Bodies are held for about as long as an answer takes, and callers that do not read lose theirs within such a time. */
const usualMilliseconds = 500;
/** Callers wait for no more than this share of their remaining time. */
const maxShare = 1 / 3;

/**
 * Returns the delay in milliseconds: 0.5 to 1.5 times the usual one, so that refused callers do not return all at once.
 *
 * @param id - The id of the request, which determines the delay.
 * @param remainingMilliseconds - Until the caller's deadline; infinite where it names none.
 */
export function retryAfterMilliseconds(id: string, remainingMilliseconds: number): number {
	const jitter = 0.5 + ((hashOf(id) % 1000) / 1000);
	return Math.min(usualMilliseconds * jitter, remainingMilliseconds * maxShare);
}
