/**
 * Shared by the HTTP adapters: the connection pools of the process, JSON requests, and the decision whether the server may
 * have received a failed request.
 */
import {Agent} from 'undici';
import {type JsonValue} from '../shared/types.js';
import {collectAnswer} from './collect-answer.js';
import {parseWholeJson} from './whole-body.js';

const connectTimeoutMilliseconds = 1000;
/** Many servers close an idle connection after 5 s without announcing it; this client closes it earlier. */
const idleConnectionMilliseconds = 4000;

/**
 * Size limit of a buffered body, such as a cache block. Without a limit, an endless body could use up the memory of the
 * process within the timeout of its call.
 */
const maxBodyBytes = 268_435_456;
/** Size limit of a JSON body, such as a page of rows or the list of the blocks of a store. */
const maxJsonBytes = 8_388_608;

/** Size limit of a JSON body that is a report or the answer to a command: many are read at a time, and all may be endless. */
const maxShortJsonBytes = 1_048_576;

/** The default connection pool, which reuses connections. */
export const connectionPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: maxBodyBytes,
});

const jsonPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: maxJsonBytes,
});

const shortJsonPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: maxShortJsonBytes,
});

/**
 * Opens a connection for each request. If the server closes a reused connection just as a request is sent, it is unknown
 * whether the server read the request, so the outcome of a non-idempotent call is unknown. On a new connection, a failure to
 * connect certainly precedes the first byte.
 */
export const freshConnectionPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	pipelining: 1,
	maxResponseSize: maxBodyBytes,
});

/** Size limit of a stream: a few hundred thousand tokens, each in an event of its own. */
const maxStreamBytes = 67_108_864;

/** For answers that are forwarded while they arrive; use it with `streamBufferBytes`. An answer over the limit is aborted. */
export const streamPool = new Agent({
	connect: {timeout: connectTimeoutMilliseconds},
	keepAliveTimeout: idleConnectionMilliseconds,
	pipelining: 1,
	maxResponseSize: maxStreamBytes,
});

/**
 * The amount of unread data at which undici pauses a stream. It exceeds the size limit, so no stream is ever paused: when the
 * connection of a paused answer with `connection: close` ends, undici throws an assertion error from a socket event, which
 * ends the process and all its answers. A slow caller costs this process at most the memory for the rest of its answer.
 */
export const streamBufferBytes = maxStreamBytes + 1;

/** The answer to a JSON request. `body` is `undefined` if it is empty. */
export type JsonAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	body: JsonValue | undefined;
};

/** A JSON request. `timeoutMilliseconds` limits the whole exchange, including the body of the answer. */
export type JsonExchange = {
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	url: string;
	body?: JsonValue;
	headers?: Record<string, string>;
	timeoutMilliseconds: number;
	/** Whether the answer is short: at most 1 MiB. */
	isShort?: boolean;
};

/**
 * Sends a JSON request and reads the answer.
 *
 * @throws If the connection fails or the time is up, and if the body is too large, not JSON, or not provably complete.
 */
export async function exchangeJson(exchange: JsonExchange): Promise<JsonAnswer> {
	const {origin, pathname, search} = new URL(exchange.url);
	const answer = await collectAnswer(exchange.isShort ? shortJsonPool : jsonPool, {
		origin,
		path: pathname + search,
		method: exchange.method,
		headers: {'content-type': 'application/json', ...exchange.headers},
		body: exchange.body === undefined ? null : JSON.stringify(exchange.body),
	}, exchange.timeoutMilliseconds);
	return {status: answer.statusCode, headers: answer.headers, body: parseWholeJson(exchange.method, answer, answer.text)};
}

const errorCodesBeforeAnyByte = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Whether a request failed before any byte of it was sent.
 *
 * This holds only for failures to connect, not for a reset connection: the server may have read the request before the reset.
 *
 * @param error - The error that the request failed with.
 * @returns True only if the server cannot have received the request.
 */
export function failedBeforeAnyByte(error: unknown): boolean {
	const {code} = (error as {code?: unknown});
	return typeof code === 'string' && errorCodesBeforeAnyByte.has(code);
}

/**
 * Formats any thrown value as one line for a log or a failure.
 *
 * @returns The message, after the error code if there is one.
 */
export function describeError(error: unknown): string {
	const {code, message} = error as {code?: unknown; message?: unknown};
	const text = typeof message === 'string' && message !== '' ? message : String(error);
	return typeof code === 'string' ? `${code}: ${text}` : text;
}
