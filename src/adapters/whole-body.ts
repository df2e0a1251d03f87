/**
 * Reads bodies that must be complete.
 *
 * A body with neither Content-Length nor chunked encoding ends when its connection ends. If the server fails in the middle of
 * such a body, the connection ends too, and undici reports the body as complete, even after a reset: half of an answer would
 * be accepted as all of it. Such a body is therefore always an error. With the other two framings, undici counts the bytes or
 * waits for the last chunk, and fails if the connection ends earlier. A body in any other transfer coding is an error too: undici passes
 * it on as it is.
 *
 * A JSON object or array needs no framing, since a truncated one cannot be parsed.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {acceptsContentCoding} from '../shared/accepts-content-coding.js';
import {parseShallowJson} from '../shared/parse-shallow-json.js';
import {transferCodingOf} from '../shared/transfer-coding-of.js';
import {type JsonValue} from '../shared/types.js';

/** The head of an answer does not prove that its body is the complete one, so it is unknown whether the request ran. */
export class UnprovedBodyError extends Error {
	override readonly name = 'UnprovedBodyError';

	constructor() {
		super('the body of the answer may be incomplete, or is in a coding that was not asked for');
	}
}

type Answer = Pick<Dispatcher.ResponseData, 'statusCode' | 'headers' | 'body'>;
type Head = Pick<Answer, 'statusCode' | 'headers'>;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads a body whose framing proves that it is complete.
 *
 * @param method - The method of the request; an answer to `HEAD` has no body.
 * @param answer - The answer, with its body unread.
 * @param acceptEncoding - The content codings that were asked for; none by default.
 * @throws `UnprovedBodyError` for a body that is ended only by the end of its connection or is in a coding that was not asked for,
 *   otherwise the connection's error.
 */
export async function readWholeBody(method: string, answer: Answer, acceptEncoding?: string): Promise<Buffer> {
	const body = Buffer.from(await answer.body.arrayBuffer());
	if (!isFramed(method, answer) || !isUncoded(answer, acceptEncoding)) {
		throw new UnprovedBodyError();
	}

	return body;
}

/**
 * Reads a JSON body that is provably complete, either by its framing or by the last brace of an object or array.
 *
 * Without this check, an empty body or the first digits of a number would be accepted: if the table service failed after
 * the head of a 200, a row would seem to be absent.
 *
 * @param method - The method of the request.
 * @param answer - The answer, with its body unread.
 * @returns The parsed body, or `undefined` if it is empty.
 * @throws `UnprovedBodyError`, a `SyntaxError` for a body that is not JSON, or the connection's error.
 */
export async function readWholeJson(method: string, answer: Answer): Promise<JsonValue | undefined> {
	return parseWholeJson(method, answer, await answer.body.text());
}

/**
 * Parses a JSON body that was read to its end, by the same rules as `readWholeJson`.
 *
 * @param method - The method of the request.
 * @param head - Status and headers of the answer.
 * @param text - The body.
 * @returns The parsed body, or `undefined` if it is empty.
 * @throws `UnprovedBodyError`, or a `SyntaxError` for a body that is not JSON.
 */
export function parseWholeJson(method: string, head: Head, text: string): JsonValue | undefined {
	const value = text === '' ? undefined : parseShallowJson(text);
	const isSelfDelimiting = typeof value === 'object' && value !== null;
	if (!isSelfDelimiting && !isFramed(method, head)) {
		throw new UnprovedBodyError();
	}

	return value;
}

function isFramed(method: string, {statusCode, headers}: Head): boolean {
	if (method === 'HEAD' || statusesWithoutBody.has(statusCode)) {
		return true;
	}

	// A transfer coding takes precedence over Content-Length. Any other than `chunked` is still in the body.
	const coding = transferCodingOf(headers['transfer-encoding']);
	return coding === 'chunked' || (coding === 'none' && headers['content-length'] !== undefined);
}

/**
 * Whether the body is in no content coding, or in one that was asked for.
 *
 * @param head - Status and headers of the answer.
 * @param acceptEncoding - The content codings that were asked for; none by default.
 */
export function isUncoded({headers}: Pick<Head, 'headers'>, acceptEncoding?: string): boolean {
	const coding = headers['content-encoding'];
	return acceptsContentCoding(coding === undefined ? undefined : String(coding), acceptEncoding);
}
