/**
 * What may end an attempt at an endpoint. This list is complete: the gateway ends an attempt for no other reason.
 *
 * - The endpoint ended its connection, in order or by a reset, or what it sent cannot be the answer to the request, or may not follow
 *   the events that the caller has.
 * - The endpoint's process is known to have ended: a later incarnation has registered under its name at another address, or under
 *   another name at its address.
 * - The caller disconnected, or the time of the caller or the route is over.
 * - Another endpoint has sent the first bytes of an answer's body.
 * - The prompt has not begun, and may no longer begin on the endpoint's older weights.
 * - The instance itself ends, after the grace period of its shutdown.
 *
 * Anything else is evidence about something else. An endpoint that is silent may be paused and go on. New connections that fail say
 * nothing about the one that carries the answer: the queue of a paused process fills up, and an endpoint resets connections beyond
 * its limit. A row that is missing is that of an endpoint that leaves, has paused for some heartbeats or was cut off, and all of them
 * finish their answers. A caller that has waited for long has not left while its connection is open. Such evidence decides
 * where new requests go, and when another endpoint is tried in addition.
 */

/**
 * Why the gateway ended an attempt whose connection was open.
 *
 * - `not-needed`: the caller disconnected, or the timeout passed.
 * - `replaced`: the endpoint was silent, and another one has sent the first bytes of its body.
 * - `superseded`: the attempt was to replace a silent one, which went on, or its answer may not follow the events that the caller has.
 * - `process-ended`: a later incarnation has registered.
 * - `older-weights`: the time in which runs may begin on the endpoint's older weights is over, and this one has not begun.
 */
export type AttemptEnd = 'not-needed' | 'replaced' | 'superseded' | 'process-ended' | 'older-weights';

/** What is known of an attempt whose endpoint is silent. */
export type SilentAttempt = {
	/** Whether the process of the endpoint is known to have ended. */
	hasProcessEnded: boolean;
	/** Whether the endpoint has been silent for much longer than is usual of its service. */
	isUnresponsive: boolean;
	/** Whether new connections to the endpoint have failed. */
	isUnreachable: boolean;
	/** Whether another endpoint may run the request as well. */
	isRetryable: boolean;
};

/**
 * What to do about it.
 *
 * - `wait`: the attempt goes on.
 * - `replace`: the attempt goes on while another endpoint is tried, which takes over with the first bytes of its body.
 * - `end`: no answer can come any more.
 */
export type SilenceStep = 'wait' | 'replace' | 'end';

/** Decides what to do about an attempt whose endpoint is silent. */
export function decideOnSilence({hasProcessEnded, isUnresponsive, isUnreachable, isRetryable}: SilentAttempt): SilenceStep {
	if (hasProcessEnded) {
		return 'end';
	}

	return isRetryable && (isUnresponsive || isUnreachable) ? 'replace' : 'wait';
}
