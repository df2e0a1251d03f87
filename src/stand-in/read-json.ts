import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type JsonValue} from '../shared/types.js';

/**
 * Reads the JSON body of a request.
 *
 * @param request - The request.
 * @returns The parsed object.
 * @throws A `SyntaxError` if the body is not valid JSON.
 */
export async function readJson(request: IncomingMessage): Promise<Record<string, JsonValue>> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, JsonValue>;
}
