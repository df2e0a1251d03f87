import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Refusal} from '../shared/types.js';
import {BodyPieces} from './body-pieces.js';

/** Counts the memory that holds a body, where that is limited. */
export type BodyAccount = {
	/** Called with the bytes that hold the body so far; returns false if there is no room for them. */
	hold(bytes: number): boolean;
	/** The refusal of a body for which there is no room. */
	refusal(): Refusal;
	/** Sets what is called when others need its memory, after which it is not held any more. */
	whenRefused(onRefused: () => void): void;
	/** Called when the whole body has arrived. */
	complete(): void;
};

/** By when a body must have arrived. */
export type BodyDeadline = {
	/** From now on. */
	milliseconds: number;
	/** The refusal of a body that has not arrived by then. */
	refusal: Refusal;
};

/**
 * Reads the body of a request up to a limit. A body that is too long is refused as soon as that is known: by its declared
 * length before any of it is read, otherwise at the first excess byte.
 *
 * Node reads and discards the rest of a refused body: closing a connection with unread bytes resets it, and the caller could
 * lose the refusal. The listener closes the connection if the body does not end soon.
 *
 * @param request - The request.
 * @param limitBytes - The maximum length of the body.
 * @param account - Counts the body from its first byte; it is refused at the first piece for which there is no room.
 * @param deadline - By when the body must have arrived; without one, the timeout of the listener holds.
 * @returns The body, or the refusal of one that is too long, late or incomplete.
 */
export async function readBody(request: IncomingMessage, limitBytes: number, account?: BodyAccount, deadline?: BodyDeadline): Promise<Either<Refusal, Buffer>> {
	const tooLarge: Refusal = {reason: 'too-large', ran: 'not-run', message: `the body is longer than ${limitBytes} bytes`};
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		return Left(tooLarge);
	}

	const pieces = new BodyPieces();
	return new Promise(resolve => {
		const settle = (result: Either<Refusal, Buffer>): void => {
			clearTimeout(timer);
			request.off('data', onData).off('end', onEnd).off('close', onClose);
			resolve(result);
		};

		const refuse = (refusal: Refusal): void => {
			settle(Left(refusal));
			request.resume();
		};

		const onData = (chunk: Buffer): void => {
			if (pieces.length + chunk.length > limitBytes) {
				refuse(tooLarge);
				return;
			}

			pieces.push(chunk);
			if (account?.hold(pieces.heldBytes) === false) {
				refuse(account.refusal());
			}
		};

		const onEnd = (): void => {
			account?.complete();
			settle(Right(pieces.toBuffer()));
		};

		const onClose = (): void => {
			settle(Left({reason: 'bad-request', ran: 'not-run', message: 'the body was cut off'}));
		};

		const timer = deadline === undefined
			? undefined
			: setTimeout(() => {
				refuse(deadline.refusal);
			}, deadline.milliseconds);
		account?.whenRefused(() => {
			refuse(account.refusal());
		});
		request.on('data', onData).once('end', onEnd).once('close', onClose);
	});
}
