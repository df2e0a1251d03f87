/**
 * Decides what to do after an attempt at an endpoint that did not end in a complete answer.
 *
 * Endpoints crash, reject, fail or cut their answers while callers wait. A wrong step has one of three results: a caller
 * gets an error that a second endpoint would have avoided, a non-idempotent call runs twice, or a refusal says "not run"
 * of work that ran.
 */
import {type RouteKind} from '../../shared/routed-configuration.js';

/**
 * How an attempt ended.
 *
 * - `not-sent`: no byte was sent.
 * - `rejected`: the endpoint answered that it did not run the request.
 * - `unknown`: it was sent, and no usable answer came.
 * - `failed`: the endpoint ran it and answered with a failure, which was not relayed yet.
 * - `cut`: the answer ended early after some of it was relayed; for an event stream, after a complete event.
 * - `torn`: the same for an answer that cannot be continued: one with a status other than 200, such as an error page,
 *   which holds no events, or a resumable stream whose events have no ids.
 */
export type AttemptOutcome = 'not-sent' | 'rejected' | 'unknown' | 'failed' | 'cut' | 'torn';

/** What the decision depends on. */
export type AttemptState = {
	kind: RouteKind;
	/** Number of endpoints that the request was sent to so far. */
	sends: number;
	maxSends: number;
	/** Whether any attempt so far may have run. */
	mayHaveRun: boolean;
	/** Whether the request has probably ended its endpoint, and would end another one. */
	hasProbablyCrashed: boolean;
	/** Whether the caller has left part of its answer unread; it could not take what another endpoint sends. */
	isCallerStalled?: boolean;
	/** Milliseconds until the timeout of the caller or the route. */
	remainingMilliseconds: number;
};

/**
 * The step.
 *
 * - `repeat`: retry from the start.
 * - `resume`: retry, and continue after the last event that was relayed.
 * - `await-caller`: decide again once the caller reads.
 * - `refuse`: answer that the request has not run.
 * - `pass-on`: relay the endpoint's failure to the caller.
 * - `fail`: answer that the outcome is unknown.
 * - `break-off`: abort the answer so that it does not look complete.
 */
export type NextStep = 'repeat' | 'resume' | 'await-caller' | 'refuse' | 'pass-on' | 'fail' | 'break-off';

/** With less time left a second endpoint can hardly answer, and its work would be wasted: the usual time of a short call. */
export const minRetryMilliseconds = 50;

/**
 * Decides the step after an attempt.
 *
 * @param outcome - How it ended.
 * @param state - What else is known.
 * @param takeRetry - Takes one retry from the budget of all instances; false if none is left. Called only where the
 * request would be retried.
 * @returns The step.
 */
export function decideNextStep(outcome: AttemptOutcome, state: AttemptState, takeRetry: () => boolean): NextStep {
	if (outcome === 'torn') {
		return 'break-off';
	}

	// After the first bytes of an answer only a stream can continue; any other second answer would be appended to the
	// partial one.
	const mayRetry = outcome === 'cut'
		? state.kind === 'resumable-stream'
		: isRetryable(state.kind) || (!state.mayHaveRun && (outcome === 'not-sent' || outcome === 'rejected'));
	const isAllowed = mayRetry && isWithinLimits(state);
	if (isAllowed && outcome === 'cut' && state.isCallerStalled) {
		return 'await-caller';
	}

	// The retry that an attempt was granted is not used up if no byte of it was sent; a first attempt needs none.
	if (isAllowed && (outcome === 'not-sent' || state.sends === 0 || takeRetry())) {
		return outcome === 'cut' ? 'resume' : 'repeat';
	}

	if (outcome === 'cut') {
		return 'break-off';
	}

	if (outcome === 'failed') {
		return 'pass-on';
	}

	return state.mayHaveRun || outcome === 'unknown' ? 'fail' : 'refuse';
}

function isWithinLimits({hasProbablyCrashed, sends, maxSends, remainingMilliseconds}: AttemptState): boolean {
	return !hasProbablyCrashed && sends < maxSends && remainingMilliseconds >= minRetryMilliseconds;
}

/** Whether requests of this kind may run more than once. */
export function isRetryable(kind: RouteKind): boolean {
	return kind === 'idempotent' || kind === 'resumable-stream';
}
