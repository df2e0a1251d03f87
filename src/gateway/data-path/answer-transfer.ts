/**
 * Describes how an answer was transferred over its connection: its framing, the bytes that arrived, and how it ended.
 *
 * An incomplete answer can look complete for several reasons: a reset that is taken for an end, a cancellation by this
 * process that is taken for an end, or a connection that has served another request before. A log line that only says that
 * an attempt failed, or that its answer was whole, cannot distinguish them.
 */
import {type IncomingMessage} from 'node:http';

/**
 * What marks the end of an answer's body.
 *
 * - `length`: the number of bytes that the head states.
 * - `chunked`: a last chunk.
 * - `connection`: the end of the connection; the bytes themselves do not show whether all of them arrived.
 * - `none`: such an answer has no body.
 */
export type AnswerFraming = 'length' | 'chunked' | 'connection' | 'none';

/** Whether a connection was opened for a request (`new`) or had served earlier ones (`kept`). */
export type ConnectionUse = 'new' | 'kept' | 'relayed';

/**
 * The state of a connection while an answer is read.
 *
 * - `open`: it has not ended.
 * - `in-order`: the endpoint closed it.
 * - `reset`: it failed.
 * - `cancelled`: this process closed it.
 */
export type ConnectionEnd = 'open' | 'in-order' | 'reset' | 'cancelled';

/**
 * How a body ended.
 *
 * - `in-order`: all of it arrived.
 * - `reset`: the connection failed first.
 * - `cancelled`: this process stopped reading first.
 * - `short`: the endpoint ended it, without a reset, before it had sent what it promised.
 * - `unread`: it was not read, because of what the head says.
 */
export type BodyEnd = 'in-order' | 'reset' | 'cancelled' | 'short' | 'unread';

/** How an answer was transferred, as logged. Without a head only the connection is known. */
export type AnswerTransfer = {
	connection: ConnectionUse;
	framing?: AnswerFraming;
	bodyBytes?: number;
	bodyEnd?: BodyEnd;
};

/**
 * Determines from an answer's head what marks the end of its body.
 *
 * @param answer - The answer.
 * @param method - The request's method; an answer to `HEAD` has no body whatever its head states.
 */
export function framingOf({statusCode, headers}: Pick<IncomingMessage, 'statusCode' | 'headers'>, method: string): AnswerFraming {
	if (method === 'HEAD' || statusCode === 204 || statusCode === 304) {
		return 'none';
	}

	// HTTP allows only spaces and tabs. `\s` also matches a no-break space, which the parser reads as part of another coding's
	// name. Such an answer ends with its connection, and the end that Node reports after a reset would count as its last chunk.
	if (/(?:^|,)[\t ]*chunked[\t ]*$/iv.test(headers['transfer-encoding'] ?? '')) {
		return 'chunked';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}

/** What the head of an answer promised, and what is known about its end. */
export type AnswerEnd = {
	framing: AnswerFraming;
	/** From the head; used only with the framing `length`. */
	promisedBytes: number;
	/** Whether the parser found the end of the body. */
	isComplete: boolean;
	/** Whether it is an event stream that stopped within an event. */
	stopsWithinEvent: boolean;
	connectionEnd: ConnectionEnd;
};

/**
 * Classifies the end of a body, once Node has reported that end.
 *
 * The `end` event alone proves nothing. Node also emits it when this process cancels the answer, and drops the bytes that
 * still waited for a slow caller, even where the parser had found the end. So what was relayed is compared with what the
 * answer promised: the stated length, a last chunk without a cancellation before it, or a connection that the endpoint is
 * known to have closed in order, for an event stream after a complete event. Without that proof the body is incomplete.
 *
 * @param end - What the answer promised, and what is known about its end.
 * @param bodyBytes - How many bytes of the body were relayed.
 * @returns `in-order` if all of the body arrived, otherwise why the rest is missing.
 */
export function classifyBodyEnd({
	framing, promisedBytes, isComplete, stopsWithinEvent, connectionEnd,
}: AnswerEnd, bodyBytes: number): BodyEnd {
	const isWhole = isComplete && {
		length: bodyBytes === promisedBytes,
		chunked: connectionEnd !== 'cancelled',
		connection: connectionEnd === 'in-order' && !stopsWithinEvent,
		none: true,
	}[framing];
	return isWhole ? 'in-order' : incompleteBodyEnd(connectionEnd);
}

/** Classifies the end of a body that was not read to its end. */
export function incompleteBodyEnd(connectionEnd: ConnectionEnd): BodyEnd {
	return connectionEnd === 'open' || connectionEnd === 'in-order' ? 'short' : connectionEnd;
}

/** Returns the transfer to log; nothing for an answer that ended by its own framing, as nearly all do, to keep lines short. */
export function unusualTransfer(transfer: AnswerTransfer | undefined): {transfer?: AnswerTransfer} {
	return transfer === undefined || (transfer.bodyEnd === 'in-order' && transfer.framing !== 'connection') ? {} : {transfer};
}
