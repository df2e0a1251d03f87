/** Answers bytes that are not a valid request: a typed refusal, written directly to the connection. */
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import {type Refusal} from '../shared/types.js';
import {refusalBody} from './send-refusal.js';

/** A refusal, with a status that fits the connection's error better than the default of the reason. */
export type ConnectionRefusal = {
	status: number;
	refusal: Refusal;
};

/**
 * Selects the refusal for an error that the HTTP parser or a timeout of the listener reports for a connection.
 *
 * @param code - The code of the error.
 * @returns The refusal; `undefined` if the peer has disconnected and nobody reads an answer.
 */
export function classifyConnectionError(code = ''): ConnectionRefusal | undefined {
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
 * Formats a refusal as a complete HTTP answer that closes the connection.
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
