/**
 * Decides what to do about an attempt whose endpoint has fallen silent.
 *
 * A sound endpoint may be silent for a second or more and go on, so silence alone ends nothing: an answer that has begun would be
 * cut, and one that was about to come would be lost. Nor do new connections that fail say anything of the one that carries the
 * answer: the queue of a paused process fills up, and an endpoint resets connections beyond its limit. An attempt is ended when its
 * caller has left. Otherwise it goes on, while a replacement is looked for that takes over only once another endpoint answers.
 */

/** What the decision depends on. */
export type SilentAttempt = {
	/** Whether new connections to the endpoint have failed. */
	isUnreachable: boolean;
	/** Whether requests wait at the endpoint, or its streams stand still, and it has sent nothing to any instance for a while. */
	isSilent: boolean;
	/** Whether the endpoint has been silent for much longer than is usual of its service. */
	isUnresponsive: boolean;
	/** Milliseconds since the caller got the last bytes, or since its request arrived. */
	callerWaitedMilliseconds: number;
	/** How long the caller waits for the next bytes. */
	eventTimeoutMilliseconds: number;
};

/**
 * The step.
 *
 * - `wait`: nothing is wrong yet.
 * - `replace`: look for another endpoint while the attempt goes on.
 * - `end-abandoned`: the caller does not wait any longer.
 */
export type SilenceStep = 'wait' | 'replace' | 'end-abandoned';

/** A caller that gives up closes its connection; this is how long the close may be on its way. */
const disconnectMilliseconds = 250;

/** Decides the step. */
export function decideOnSilence({isUnreachable, isSilent, isUnresponsive, callerWaitedMilliseconds, eventTimeoutMilliseconds}: SilentAttempt): SilenceStep {
	if (isSilent && callerWaitedMilliseconds > eventTimeoutMilliseconds + disconnectMilliseconds) {
		return 'end-abandoned';
	}

	return isUnresponsive || (isSilent && isUnreachable) ? 'replace' : 'wait';
}
