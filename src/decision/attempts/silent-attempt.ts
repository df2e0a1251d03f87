/**
 * Decides what to do about an attempt whose endpoint has fallen silent.
 *
 * A sound endpoint may be silent for a second or more and go on, so silence alone ends nothing: an answer that has begun would be
 * cut, and one that was about to come would be lost. An attempt is ended when the endpoint accepts no connections any more, as a
 * host that has lost its power, and when its caller has given up. Otherwise it goes on, while a replacement is looked for that
 * takes over only once another endpoint answers.
 */

/** What the decision depends on. */
export type SilentAttempt = {
	/** Connection attempts to the endpoint that failed in a row since its last byte. */
	failedConnections: number;
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
 * - `end-unreachable`: the endpoint cannot answer any more.
 * - `end-abandoned`: the caller does not wait any longer.
 */
export type SilenceStep = 'wait' | 'replace' | 'end-unreachable' | 'end-abandoned';

/** A caller that gives up closes its connection; this is how long the close may be on its way. */
const disconnectMilliseconds = 250;
/** A single connection attempt may fail because a packet was lost. */
const failuresToEnd = 2;

/** Decides the step. */
export function decideOnSilence({failedConnections, isSilent, isUnresponsive, callerWaitedMilliseconds, eventTimeoutMilliseconds}: SilentAttempt): SilenceStep {
	if (failedConnections >= failuresToEnd) {
		return 'end-unreachable';
	}

	if (isSilent && callerWaitedMilliseconds > eventTimeoutMilliseconds + disconnectMilliseconds) {
		return 'end-abandoned';
	}

	return isUnresponsive || failedConnections > 0 ? 'replace' : 'wait';
}
