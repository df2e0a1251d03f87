import {type RelayState} from '../../protocol/stream/stream-relay.js';
import {type Refusal} from '../../shared/types.js';

/** The state of a prompt that is no longer attempted. */
export type FailedPrompt = {
	relay: RelayState;
	/** True if an engine may have worked on the prompt. */
	mayHaveRun: boolean;
	/** Why the request was cancelled, if it was. */
	cancelReason: string | undefined;
	/** Why the last attempt failed. */
	detail: string;
	/** True if at least one attempt was sent to an endpoint. */
	wasAttempted: boolean;
	/** Milliseconds until the first of the endpoints that are full accepts requests again; absent if none reported that. */
	backoffMilliseconds?: number | undefined;
	retryAfterMilliseconds: number;
};

/**
 * Determines the refusal of a prompt that cannot be served. It is sent as an error event if the stream has begun, otherwise
 * as the answer.
 *
 * @param prompt - The state in which the prompt failed.
 * @returns The refusal; "not-run" only if no engine can have started the prompt.
 */
export function failedPromptRefusal(prompt: FailedPrompt): Refusal {
	const {relay, detail, retryAfterMilliseconds, backoffMilliseconds} = prompt;
	const ran = prompt.mayHaveRun ? 'unknown' : 'not-run';
	if (prompt.cancelReason !== undefined) {
		return {reason: 'cancelled', ran, message: prompt.cancelReason};
	}

	if (relay.tokensPassedOn > 0) {
		return {
			reason: 'stream-cut', ran: 'unknown', message: `the answer could not be finished: ${detail}`, retryAfterMilliseconds,
		};
	}

	if (backoffMilliseconds !== undefined && !prompt.mayHaveRun) {
		return {
			reason: 'overloaded', ran, message: 'the endpoints are full', retryAfterMilliseconds: backoffMilliseconds,
		};
	}

	return {
		reason: prompt.wasAttempted ? 'endpoint-failed' : 'no-endpoint', ran, message: `the prompt could not be served: ${detail}`, retryAfterMilliseconds,
	};
}
