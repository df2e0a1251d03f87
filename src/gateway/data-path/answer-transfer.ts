/**
 * What is known of how an answer came over its connection: how its end is told, how many bytes came, how it ended.
 *
 * An answer can look complete to its caller and not be it for several causes: a reset taken for an end, our own giving up
 * taken for an end, a connection that served another request before. A log line that only says that a try failed, or that
 * it was whole, cannot tell them apart.
 */
import {type IncomingMessage} from 'node:http';

/**
 * What tells where the body of an answer ends.
 *
 * - `length`: the number of bytes that its head states.
 * - `chunked`: a last chunk.
 * - `connection`: the end of the connection; nothing in the bytes themselves tells whether all came.
 * - `none`: such an answer has no body.
 */
export type AnswerFraming = 'length' | 'chunked' | 'connection' | 'none';

/** Whether a connection was opened for a request, or had served others before. */
export type ConnectionUse = 'new' | 'kept';

/**
 * The state of a connection while an answer is read.
 *
 * - `open`: nothing ended it yet.
 * - `in-order`: the endpoint closed it.
 * - `reset`: it failed.
 * - `cancelled`: this process gave it up.
 */
export type ConnectionEnd = 'open' | 'in-order' | 'reset' | 'cancelled';

/**
 * How a body ended.
 *
 * - `in-order`: all of it came.
 * - `reset`: the connection failed before.
 * - `cancelled`: this process gave up reading before.
 * - `short`: the endpoint closed the connection in order before it had sent what it promised.
 * - `unread`: the head was reason enough not to read it.
 */
export type BodyEnd = 'in-order' | 'reset' | 'cancelled' | 'short' | 'unread';

/** How an answer came, as logs tell it; an answer without a head has only a connection. */
export type AnswerTransfer = {
	connection: ConnectionUse;
	framing?: AnswerFraming;
	bodyBytes?: number;
	bodyEnd?: BodyEnd;
};

/**
 * Reads from an answer's head what tells the end of its body.
 *
 * @param answer - The answer.
 * @param method - The request's method; an answer to `HEAD` has no body whatever its head states.
 * @returns The framing.
 */
export function framingOf({statusCode, headers}: Pick<IncomingMessage, 'statusCode' | 'headers'>, method: string): AnswerFraming {
	if (method === 'HEAD' || statusCode === 204 || statusCode === 304) {
		return 'none';
	}

	// Only the blanks of HTTP: `\s` also matches a no-break space, which the parser takes for a part of another coding's name.
	// Such an answer ends with its connection, and the end behind a reset would count as its last chunk.
	if (/(?:^|,)[\t ]*chunked[\t ]*$/iv.test(headers['transfer-encoding'] ?? '')) {
		return 'chunked';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}

/** What an answer promised, and what is known of its end. */
export type AnswerEnd = {
	framing: AnswerFraming;
	/** By its head; used only for the framing `length`. */
	promisedBytes: number;
	/** Whether the parser found the end of the body. */
	isComplete: boolean;
	/** Whether it is a stream that stopped in the middle of an event. */
	isTorn: boolean;
	connectionEnd: ConnectionEnd;
};

/**
 * Judges whether all of a body came, when its reader is told that it ended.
 *
 * The news of an end proves nothing by itself: it comes also when this process gives the answer up, and the parts that
 * still waited for a slow caller are thrown away then, behind a parser that had found the end. So what was passed on is
 * held against what the answer promised: the bytes of its length, a last chunk that nobody's giving up preceded, or a
 * connection that the endpoint is known to have closed in order, for a stream behind a whole event. Whatever is not proved
 * is not whole.
 *
 * @param end - What the answer promised, and what is known of its end.
 * @param bodyBytes - How many bytes of the body were passed on.
 * @returns `in-order` if all came, else what kept the rest from coming.
 */
export function judgeBodyEnd({
	framing, promisedBytes, isComplete, isTorn, connectionEnd,
}: AnswerEnd, bodyBytes: number): BodyEnd {
	const isWhole = isComplete && {
		length: bodyBytes === promisedBytes,
		chunked: connectionEnd !== 'cancelled',
		connection: connectionEnd === 'in-order' && !isTorn,
		none: true,
	}[framing];
	return isWhole ? 'in-order' : brokenBodyEnd(connectionEnd);
}

/** Names how a body ended that was not read to its end. */
export function brokenBodyEnd(connectionEnd: ConnectionEnd): BodyEnd {
	return connectionEnd === 'open' || connectionEnd === 'in-order' ? 'short' : connectionEnd;
}

/** How the last answer came, unless it ended as nearly all do, by its own framing: the line of a request is to stay short. */
export function unusualTransfer(transfer: AnswerTransfer | undefined): {transfer?: AnswerTransfer} {
	return transfer === undefined || (transfer.bodyEnd === 'in-order' && transfer.framing !== 'connection') ? {} : {transfer};
}
