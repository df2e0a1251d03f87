/**
 * What the HTTP adapters share: one connection pool for the process, whole JSON exchanges, and the judgement whether a
 * failed exchange can have reached the other side.
 */
import {Agent} from 'undici';
import {type JsonValue} from '../shared/types.js';
import {readWholeJson} from './whole-body.js';

const connectTimeoutMilliseconds = 1000;
/** Shorter than the 5 s after which many servers close an idle connection without having said so. */
const idleConnectionMilliseconds = 4000;

/**
 * The longest body that is read whole, such as a cache block. Answers are held in memory: without a limit, one that never
 * ends would take all of it within the time limit of its call.
 */
const longestAnswerBytes = 268_435_456;
/** The same for JSON, such as a page of rows. */
const longestJsonBytes = 33_554_432;

/** The connection pool of this process. */
export const connectionPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: longestAnswerBytes,
});

const jsonPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: longestJsonBytes,
});

/**
 * Makes a connection for each request. On a kept connection that the other side closes just as a request leaves, nobody
 * can tell whether the request was read; for a call that may not be repeated that is an outcome nobody knows. On a fresh
 * connection a failure to connect is surely before the first byte.
 */
export const freshConnectionPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	pipelining: 1,
	maxResponseSize: longestAnswerBytes,
});

/** The longest stream taken: some hundred thousand tokens with the frame of an event around each. */
const longestStreamBytes = 67_108_864;

/** For answers that are passed on as they come, with `streamBufferBytes`. A longer one is broken off. */
export const streamPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: longestStreamBytes,
});

/**
 * How much of a stream may wait for its reader before undici pauses it: more than ever comes. When the connection of a
 * paused answer with `connection: close` ends, undici throws a failed assertion out of a socket event, which ends the
 * process with all its answers. A stream that is never paused never meets that assertion; a slow caller costs this process
 * at most the rest of its answer.
 */
export const streamBufferBytes = longestStreamBytes + 1;

/** The answer to a JSON exchange. */
export type JsonAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	body: JsonValue | undefined;
};

/** One JSON exchange to make. `timeoutMilliseconds` bounds the whole of it. */
export type JsonExchange = {
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	url: string;
	body?: JsonValue;
	headers?: Record<string, string>;
	timeoutMilliseconds: number;
};

/**
 * Makes a JSON exchange.
 *
 * @param exchange - What to send, and how many milliseconds the whole exchange may take.
 * @returns The status and the parsed body; the body is `undefined` when it is empty.
 * @throws The error of the connection, a timeout, a body that is too long, no JSON, or that nothing proves to be whole.
 */
export async function exchangeJson(exchange: JsonExchange): Promise<JsonAnswer> {
	const {origin, pathname, search} = new URL(exchange.url);
	const answer = await jsonPool.request({
		origin,
		path: pathname + search,
		method: exchange.method,
		headers: {'content-type': 'application/json', ...exchange.headers},
		body: exchange.body === undefined ? null : JSON.stringify(exchange.body),
		signal: AbortSignal.timeout(exchange.timeoutMilliseconds),
	});
	return {status: answer.statusCode, headers: answer.headers, body: await readWholeJson(exchange.method, answer)};
}

const errorCodesBeforeAnyByte = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Tells whether an exchange failed before any byte of the request can have left.
 *
 * Only failures to connect count. A reset connection does not: the request may have been read before the reset.
 *
 * @param error - What the exchange threw.
 * @returns True only if the other side cannot have seen the request.
 */
export function failedBeforeAnyByte(error: unknown): boolean {
	const {code} = (error as {code?: unknown});
	return typeof code === 'string' && errorCodesBeforeAnyByte.has(code);
}

/**
 * Writes an error as one line for a log or a failure.
 *
 * @param error - Anything that was thrown.
 * @returns The message, with the code in front when there is one.
 */
export function describeError(error: unknown): string {
	const {code, message} = error as {code?: unknown; message?: unknown};
	const text = typeof message === 'string' && message !== '' ? message : String(error);
	return typeof code === 'string' ? `${code}: ${text}` : text;
}
