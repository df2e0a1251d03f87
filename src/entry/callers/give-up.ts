import {type RelayState} from '../../protocol/stream/stream-relay.js';
import {type Refusal} from '../../shared/types.js';

/** The state of a prompt that is no longer attempted. */
export type LostCause = {
	relay: RelayState;
	/** True if an engine may have worked on the prompt. */
	mayHaveRun: boolean;
	/** Why the request was cancelled, if it was. */
	cancelledBecause: string | undefined;
	/** Why the last attempt failed. */
	detail: string;
	/** True if at least one attempt was sent to an endpoint. */
	wasTried: boolean;
	/** Milliseconds until the first of the endpoints that are full accepts requests again; absent if none reported that. */
	fullMilliseconds?: number | undefined;
	retryAfterMilliseconds: number;
};

/**
 * Determines the refusal of a prompt that cannot be served. It is sent as an error event if the stream has begun, otherwise
 * as the answer.
 *
 * @param cause - The state in which the prompt failed.
 * @returns The refusal; "not-run" only if no engine can have started the prompt.
 */
export function giveUp(cause: LostCause): Refusal {
	const {relay, detail, retryAfterMilliseconds, fullMilliseconds} = cause;
	const ran = cause.mayHaveRun ? 'unknown' : 'not-run';
	if (cause.cancelledBecause !== undefined) {
		return {reason: 'cancelled', ran, message: cause.cancelledBecause};
	}

	if (relay.tokensPassedOn > 0) {
		return {
			reason: 'stream-cut', ran: 'unknown', message: `the answer could not be finished: ${detail}`, retryAfterMilliseconds,
		};
	}

	if (fullMilliseconds !== undefined && !cause.mayHaveRun) {
		return {
			reason: 'overloaded', ran, message: 'the endpoints are full', retryAfterMilliseconds: fullMilliseconds,
		};
	}

	return {
		reason: cause.wasTried ? 'endpoint-failed' : 'no-endpoint', ran, message: `the prompt could not be served: ${detail}`, retryAfterMilliseconds,
	};
}
