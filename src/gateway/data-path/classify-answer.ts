/** Classifies an endpoint's answer by its head. */
import {isRetryable} from '../../decision/attempts/next-step.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {isForwardableBody} from './is-forwardable-body.js';
import {isForwardableHead} from './is-forwardable-head.js';
import {type WireNames} from './wire-names.js';

/**
 * - `usable`: it may be relayed.
 * - `rejected`: the endpoint did not run the request.
 * - `failed`: the endpoint failed, and another one may be tried.
 * - `unknown`: nothing proves that the answer is to this request, or it cannot be forwarded.
 */
export type AnswerClass = 'usable' | 'rejected' | 'failed' | 'unknown';

/** The request that was sent. */
export type AnsweredRequest = {
	attemptId: string;
	kind: RouteKind;
	/** The content codings that its caller accepts. */
	acceptEncoding: string | undefined;
	/** Whether the caller already has the head of an answer. */
	hasBegun: boolean;
};

const rejectionStatuses: ReadonlySet<number> = new Set([421, 429, 503]);

export function classifyAnswer(answer: EndpointAnswer, request: AnsweredRequest, names: WireNames): AnswerClass {
	const {status} = answer;
	// Bytes that are no answer state nothing, not even that the request was not run.
	if (!isForwardableHead(answer) || !isForwardableBody(answer, request)) {
		return 'unknown';
	}

	if (!mayBelongTo(answer, request, names)) {
		return 'unknown';
	}

	const statesNotExecuted = status === 421 || answer.header(names.notExecuted) !== undefined;
	if (rejectionStatuses.has(status) && statesNotExecuted) {
		return 'rejected';
	}

	// Without proof these bytes may be the answer to another request on the connection.
	if (status >= 200 && status < 300 && !isProven(answer, request, names)) {
		return 'unknown';
	}

	if (request.hasBegun) {
		// The caller already has the head and some events of a success; only further events may follow them.
		return status === 200 ? 'usable' : 'failed';
	}

	return status >= 500 && status !== 504 && isRetryable(request.kind) ? 'failed' : 'usable';
}

/** Whether the endpoint served the request, whatever it answered, rather than rejecting it or failing. */
export function isServedAnswer(answer: EndpointAnswer, answerClass: AnswerClass, request: AnsweredRequest, names: WireNames): boolean {
	return answerClass === 'usable' && answer.status < 500 && !rejectionStatuses.has(answer.status) && isProven(answer, request, names);
}

/**
 * Whether an answer may be to this attempt. On a connection that has served another request, bytes without an id may follow the answer
 * to that one.
 */
function mayBelongTo(answer: EndpointAnswer, {attemptId}: AnsweredRequest, names: WireNames): boolean {
	const answered = answer.header(names.attemptId);
	return answered === attemptId || (answered === undefined && answer.connection !== 'kept');
}

/** Whether the endpoint signed the answer, and it answers this attempt. */
function isProven(answer: EndpointAnswer, {attemptId}: AnsweredRequest, names: WireNames): boolean {
	return answer.header(names.seal) !== undefined && answer.header(names.attemptId) === attemptId;
}
