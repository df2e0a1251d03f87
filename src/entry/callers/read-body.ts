import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Refusal} from '../../shared/types.js';

/**
 * Reads the body of a request up to a limit.
 *
 * @param request - The request.
 * @param limitBytes - The longest body taken.
 * @returns The body, or the refusal for one that is too long or was cut off.
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Either<Refusal, Buffer>> {
	const chunks: Buffer[] = [];
	let length = 0;
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			length += chunk.length;
			if (length > limitBytes) {
				return Left({reason: 'too-large', ran: 'not-run', message: `the body is longer than ${limitBytes} bytes`});
			}

			chunks.push(chunk);
		}
	} catch {
		return Left({reason: 'bad-request', ran: 'not-run', message: 'the body was cut off'});
	}

	return Right(Buffer.concat(chunks));
}
