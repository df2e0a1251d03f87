import {type Refusal, type RunState} from '../../shared/types.js';
import {type ClaimOutcome} from './claim-steps.js';

/** When a caller may come back whose call could not be decided now. */
const comeBackMilliseconds = 2000;

/**
 * Makes the refusal of a call that this attempt did not send.
 *
 * @param reason - Why.
 * @param message - The reason for people.
 * @param ran - `unknown` where an earlier attempt under the key may have run.
 * @returns The outcome, with a time to return unless a repeat cannot help.
 */
export function unsentOutcome(reason: Refusal['reason'], message: string, ran: RunState): ClaimOutcome & {kind: 'refusal'} {
	const canReturn = reason !== 'key-reused';
	return {
		kind: 'refusal', refusal: {
			reason, ran, message, ...(canReturn ? {retryAfterMilliseconds: comeBackMilliseconds} : {}),
		},
	};
}
