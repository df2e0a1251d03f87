import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Refusal} from '../shared/types.js';

/**
 * Reads the body of a request up to a limit. A body that is too long is refused as soon as that is known: by its declared
 * length before any of it is read, otherwise at the first excess byte.
 *
 * Node reads and discards the rest of a refused body: closing a connection with unread bytes resets it, and the caller could
 * lose the refusal. The listener closes the connection if the body does not end soon.
 *
 * @param request - The request.
 * @param limitBytes - The maximum length of the body.
 * @returns The body, or the refusal of one that is too long or incomplete.
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Either<Refusal, Buffer>> {
	const tooLarge: Refusal = {reason: 'too-large', ran: 'not-run', message: `the body is longer than ${limitBytes} bytes`};
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		return Left(tooLarge);
	}

	const chunks: Buffer[] = [];
	let length = 0;
	return new Promise(resolve => {
		const settle = (result: Either<Refusal, Buffer>): void => {
			request.off('data', onData).off('end', onEnd).off('close', onClose);
			resolve(result);
		};

		const onData = (chunk: Buffer): void => {
			length += chunk.length;
			if (length > limitBytes) {
				settle(Left(tooLarge));
				request.resume();
				return;
			}

			chunks.push(chunk);
		};

		const onEnd = (): void => {
			settle(Right(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		};

		const onClose = (): void => {
			settle(Left({reason: 'bad-request', ran: 'not-run', message: 'the body was cut off'}));
		};

		request.on('data', onData).once('end', onEnd).once('close', onClose);
	});
}
