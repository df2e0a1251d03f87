import {type Refusal, type RunState} from '../../shared/types.js';
import {type ClaimOutcome} from './claim-steps.js';

/** The delay after which the caller may retry. */
const retryDelayMilliseconds = 2000;

/**
 * Creates the refusal of a call that was not sent.
 *
 * @param reason - The reason as a code.
 * @param message - The reason as text.
 * @param ran - `unknown` where an earlier call with the same key may have run.
 * @returns The outcome, with a retry delay unless a retry cannot succeed.
 */
export function unsentOutcome(reason: Refusal['reason'], message: string, ran: RunState): ClaimOutcome & {kind: 'refusal'} {
	const isRetryable = reason !== 'key-reused';
	return {
		kind: 'refusal', refusal: {
			reason, ran, message, ...(isRetryable ? {retryAfterMilliseconds: retryDelayMilliseconds} : {}),
		},
	};
}
