import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** An answer that is known whole. */
export type WholeAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Buffer;
};

/**
 * Sends an answer that is known whole, with its length. Without one, a caller who knows no chunks would take every end of
 * the connection for the end of the answer, and half of it for all of it.
 *
 * @param response - Where to write; no head was sent yet.
 * @param answer - The answer.
 */
export function sendWhole(response: ServerResponse, {status, headers, body}: WholeAnswer): void {
	// An answer to HEAD would need the length that GET has; the other two have none.
	const hasBody = response.req.method !== 'HEAD' && !statusesWithoutBody.has(status);
	response.writeHead(status, hasBody ? {...headers, 'content-length': body.length} : headers);
	response.end(body);
}

/**
 * Sends a JSON answer with status 200.
 *
 * @param response - Where to write; no head was sent yet.
 * @param value - What JSON can carry.
 */
export function sendJson(response: ServerResponse, value: unknown): void {
	sendWhole(response, {status: 200, headers: {'content-type': 'application/json'}, body: Buffer.from(JSON.stringify(value))});
}
