import {type RelayState} from '../../protocol/stream/stream-relay.js';
import {type Refusal} from '../../shared/types.js';

/** How far a prompt came before it was given up. */
export type LostCause = {
	relay: RelayState;
	/** True once an engine may have worked on the prompt. */
	mayHaveRun: boolean;
	/** Why the request was cancelled, if it was. */
	cancelledBecause: string | undefined;
	/** What the last attempt said. */
	detail: string;
	/** True when an endpoint was left to try, or was tried. */
	wasTried: boolean;
	/** Set when the endpoints said themselves that they are full. */
	fullMilliseconds?: number | undefined;
	retryAfterMilliseconds: number;
};

/**
 * Gives the final word on a prompt that cannot be served: a typed error in the stream, or a refusal before it.
 *
 * @param cause - How far it came.
 * @returns The refusal; "not-run" only if no engine can have begun.
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
