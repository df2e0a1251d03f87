import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** An answer whose whole body is known. */
export type CompleteAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Buffer;
};

/**
 * Sends a complete answer with its content length. Without the length, a caller that does not support chunked encoding
 * would mistake a broken connection for the end of the answer, and accept a truncated body as complete.
 *
 * @param response - Where to write; its head must not have been sent.
 * @param answer - The answer.
 */
export function sendCompleteAnswer(response: ServerResponse, {status, headers, body}: CompleteAnswer): void {
	// An answer to HEAD would need the length of the answer to GET; answers with status 204 or 304 have no length.
	const hasBody = response.req.method !== 'HEAD' && !statusesWithoutBody.has(status);
	response.writeHead(status, hasBody ? {...headers, 'content-length': body.length} : headers);
	response.end(body);
}

/**
 * Sends a JSON answer with status 200.
 *
 * @param response - Where to write; its head must not have been sent.
 * @param value - Any value that can be encoded as JSON.
 */
export function sendJson(response: ServerResponse, value: unknown): void {
	sendCompleteAnswer(response, {status: 200, headers: {'content-type': 'application/json'}, body: Buffer.from(JSON.stringify(value))});
}
