/**
 * Reads the bodies of answers that count only when they are whole.
 *
 * A body with neither a length nor chunks ends with its connection. A server that dies in the middle of it ends the
 * connection as well, and undici reports that body as complete, also when the connection was reset: half of an answer
 * would pass for all of it. So such a body is refused, whatever ended it. This is enough, since for the other two framings
 * undici counts the bytes or waits for the last chunk, and fails when the connection ends before that.
 *
 * A JSON object or array needs no framing: no part of it that lacks its end can be parsed.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {type JsonValue} from '../shared/types.js';

/** An answer came, but nothing proves that its body is whole; whether the request ran is not known from it. */
export class UnprovedBodyError extends Error {
	override readonly name = 'UnprovedBodyError';

	constructor() {
		super('the answer has neither a length nor chunks, so nothing proves that it is whole');
	}
}

type Answer = Pick<Dispatcher.ResponseData, 'statusCode' | 'headers' | 'body'>;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads a body that its framing proves to be whole.
 *
 * @param method - The method of the request; an answer to `HEAD` has no body.
 * @param answer - The answer, its body unread.
 * @returns All bytes of the body.
 * @throws `UnprovedBodyError` for a body that only the end of the connection ends, else the error of the connection.
 */
export async function readWholeBody(method: string, answer: Answer): Promise<Buffer> {
	const body = Buffer.from(await answer.body.arrayBuffer());
	if (!isFramed(method, answer)) {
		throw new UnprovedBodyError();
	}

	return body;
}

/**
 * Reads a JSON body that its framing or its own last brace proves to be whole.
 *
 * Without either, nothing at all and the first digits of a number would pass for an answer: a table whose server died behind
 * the head of a 200 would seem to have no such row.
 *
 * @param method - The method of the request.
 * @param answer - The answer, its body unread.
 * @returns The parsed body; `undefined` when it is empty.
 * @throws `UnprovedBodyError`, a `SyntaxError` for a body that is no JSON, or the error of the connection.
 */
export async function readWholeJson(method: string, answer: Answer): Promise<JsonValue | undefined> {
	const text = await answer.body.text();
	const value = text === '' ? undefined : JSON.parse(text) as JsonValue;
	const closesItself = typeof value === 'object' && value !== null;
	if (!closesItself && !isFramed(method, answer)) {
		throw new UnprovedBodyError();
	}

	return value;
}

function isFramed(method: string, {statusCode, headers}: Answer): boolean {
	if (method === 'HEAD' || statusesWithoutBody.has(statusCode)) {
		return true;
	}

	// Another coding behind the chunks, or without them, has no end mark and goes before a length.
	const codings = headers['transfer-encoding'];
	return codings === undefined ? headers['content-length'] !== undefined : /(?:^|[\s,])chunked\s*$/iv.test(String(codings));
}
