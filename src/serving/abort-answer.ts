/** Aborts an answer so that its caller can see that it is incomplete. */
import {type ServerResponse} from 'node:http';
import {noteClose} from './connection-close.js';
import {HalfClosedCaller} from './half-closed-caller.js';

/**
 * Closes the caller's connection before its answer is complete.
 *
 * An HTTP/1.1 caller misses the last chunk or some bytes of the stated length. An HTTP/1.0 caller gets no chunks: the end of
 * the connection is the end of the answer, so after an orderly close half an answer would look complete. Its connection is
 * reset instead, which no client takes for an end. So is the connection of a half-closed caller: it may have been sent a
 * leading zero of a chunk size, which some clients take for the last chunk if an orderly close follows.
 *
 * @param response - The answer, of which a part may have been sent.
 */
export function abortAnswer(response: ServerResponse): void {
	const {socket} = response;
	noteClose(response.req.socket, 'answer-aborted');
	const isEndMistakable = !response.useChunkedEncodingByDefault || (socket !== null && HalfClosedCaller.of(socket) !== undefined);
	if (!isEndMistakable || socket === null) {
		response.destroy();
		return;
	}

	socket.resetAndDestroy();
}
