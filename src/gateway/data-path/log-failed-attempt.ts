/** Writes the log line of an attempt that did not end in a complete answer. */
import {type NextStep} from '../../decision/attempts/next-step.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type AttemptResult} from './attempt-result.js';

/** The attempt and the step that follows. */
export type FailedAttempt = {
	id: string;
	endpoint: string;
	result: AttemptResult;
	/** `wait`: an attempt that was to replace a silent one failed, and that one goes on. */
	step: NextStep | 'wait';
	/** Number of endpoints that the request was sent to so far. */
	sends: number;
	/** The fingerprint of the request; called only where the endpoint's side ended the connection. */
	fingerprint: () => string;
};

/** Writes the line. */
export function logFailedAttempt(log: Pick<DecisionLog, 'record'>, {id, endpoint, result, step, sends, fingerprint}: FailedAttempt): void {
	const {outcome, detail, answer, transfer, isConnectionLost, silentMilliseconds} = result;
	log.record('try-failed', {
		id, endpoint, outcome, step, sends, detail, silentMilliseconds, status: answer?.status, transfer, ...(isConnectionLost ? {fingerprint: fingerprint()} : {}),
	});
}
