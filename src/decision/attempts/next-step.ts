/**
 * What is done when one try at an endpoint did not end in a whole answer.
 *
 * Load it answers: endpoints that crash, reject, fail or cut their answers while callers wait. Without it either a caller
 * gets an error that a second endpoint would have spared it, or a call that must not repeat runs twice, or a refusal says
 * "not run" of work that ran.
 */
import {type RouteKind} from '../../shared/routed-configuration.js';

/**
 * How a try ended.
 *
 * - `not-sent`: no byte left.
 * - `rejected`: the endpoint says that it did not run the request.
 * - `unknown`: it was sent, and no usable answer came.
 * - `failed`: the endpoint ran it and answered with a failure, which was not passed on yet.
 * - `cut`: the answer broke off after parts of it were passed on; for an event stream behind a whole event.
 * - `torn`: the same of an answer behind which none can go on: other than a 200, such as a failure's page, since it holds
 *   no events, or a stream to be resumed whose events have no ids.
 */
export type TryOutcome = 'not-sent' | 'rejected' | 'unknown' | 'failed' | 'cut' | 'torn';

/** What is known when the step is decided. */
export type TryState = {
	kind: RouteKind;
	/** Endpoints that the request was sent to so far. */
	sends: number;
	mostSends: number;
	/** Whether an earlier try may have run. */
	mayHaveRun: boolean;
	/** Milliseconds until the caller or the route gives up. */
	leftMilliseconds: number;
};

/**
 * The step.
 *
 * - `repeat`: send it again, from its start.
 * - `resume`: send it again, to go on behind the last event passed on.
 * - `refuse`: tell the caller that it has not run.
 * - `pass-on`: give the caller the endpoint's failure.
 * - `fail`: tell the caller that the outcome is not known.
 * - `break-off`: end the answer so that it does not look complete.
 */
export type NextStep = 'repeat' | 'resume' | 'refuse' | 'pass-on' | 'fail' | 'break-off';

/** With less time left a second endpoint can hardly answer, and its work would be for nothing: a short call's usual time. */
export const leastRepeatMilliseconds = 50;

/**
 * Decides the step after a try.
 *
 * @param outcome - How it ended.
 * @param state - What is known.
 * @param takeRepeat - Takes one repeat from the budget that all instances share; false if none is left. Called only
 * where a repeat would be made.
 * @returns The step.
 */
export function decideNextStep(outcome: TryOutcome, state: TryState, takeRepeat: () => boolean): NextStep {
	if (outcome === 'torn') {
		return 'break-off';
	}

	// Behind a part of an answer only a stream can go on; another whole answer would be joined to that part.
	const mayRepeat = outcome === 'cut'
		? state.kind === 'resumable-stream'
		: isRepeatable(state.kind) || (!state.mayHaveRun && (outcome === 'not-sent' || outcome === 'rejected'));
	const hasRoom = state.sends < state.mostSends && state.leftMilliseconds >= leastRepeatMilliseconds;
	if (mayRepeat && hasRoom && (state.sends === 0 || takeRepeat())) {
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

/** Whether a request of this kind may run more than once. */
export function isRepeatable(kind: RouteKind): boolean {
	return kind === 'idempotent' || kind === 'resumable-stream';
}
