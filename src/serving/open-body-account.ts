import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Refusal} from '../shared/types.js';
import {type HeldMemory} from './held-memory.js';
import {type BodyAccount} from './read-body.js';

/** Counts a body until it is released. */
export type OpenBodyAccount = BodyAccount & {release(): void};

/**
 * Counts the body of a request in the memory of this process.
 *
 * @param memory - What counts it.
 * @param exchange - The request, its answer, and the limit of its body in bytes.
 * @param refusal - Creates the refusal of a body for which there is no room.
 * @returns `undefined` for a request without a body; otherwise the account of the body, or the refusal.
 */
export function openBodyAccount(memory: HeldMemory, {request, response, limitBytes}: {request: IncomingMessage; response: ServerResponse; limitBytes: number}, refusal: () => Refusal): Either<Refusal, OpenBodyAccount> | undefined {
	const {headers} = request;
	const declaredBytes = Number(headers['content-length'] ?? 0);
	if (declaredBytes === 0 && headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	const body = memory.openBody(Math.min(declaredBytes, limitBytes));
	if (body === undefined) {
		return Left(refusal());
	}

	return Right({
		hold: bytes => body.hold(bytes),
		refusal,
		whenRefused(onRefused) {
			body.whenRefused(() => {
				// Its request may have been refused for another reason just before.
				if (!response.headersSent) {
					// It stands still, so nothing is lost if its connection closes after the refusal.
					response.setHeader('connection', 'close');
					onRefused();
				}
			});
		},
		complete() {
			body.complete();
		},
		release() {
			body.release();
		},
	});
}
