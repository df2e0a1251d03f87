/** The answer to bytes that never became a request: a typed refusal, written to the connection itself. */
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import {type Refusal} from '../shared/types.js';
import {refusalBody} from './send-refusal.js';

/** A refusal with the status that fits the fault of the connection better than the reason's own. */
export type ConnectionRefusal = {
	status: number;
	refusal: Refusal;
};

/**
 * Judges what the HTTP parser, or a time limit of the listener, found wrong with a connection.
 *
 * @param code - The code of the error.
 * @returns The refusal; `undefined` when the other side is gone and nobody reads an answer.
 */
export function judgeConnectionError(code = ''): ConnectionRefusal | undefined {
	switch (code) {
		case 'ECONNRESET':
		case 'EPIPE': {
			return undefined;
		}

		case 'HPE_HEADER_OVERFLOW': {
			return {status: 431, refusal: {reason: 'too-large', ran: 'not-run', message: 'the request line and headers are too long'}};
		}

		case 'HPE_CHUNK_EXTENSIONS_OVERFLOW': {
			return {status: 413, refusal: {reason: 'too-large', ran: 'not-run', message: 'the chunk extensions are too long'}};
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {status: 408, refusal: {reason: 'too-slow', ran: 'not-run', message: 'the request did not arrive in time'}};
		}

		default: {
			return {status: 400, refusal: {reason: 'bad-request', ran: 'not-run', message: 'this is no HTTP request'}};
		}
	}
}

/**
 * Writes a refusal as a whole HTTP answer that closes the connection.
 *
 * @param connectionRefusal - The refusal and its status.
 * @returns The bytes to write.
 */
export function connectionRefusalBytes({status, refusal}: ConnectionRefusal): Buffer {
	const body = JSON.stringify(refusalBody(refusal));
	const head = [
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Refused'}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
	];
	return Buffer.from(`${head.join('\r\n')}\r\n\r\n${body}`);
}
