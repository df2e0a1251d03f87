/** Breaks an answer off so that its caller can see that it is not whole. */
import {type ServerResponse} from 'node:http';

/**
 * Closes the caller's connection in the middle of an answer.
 *
 * A caller of HTTP/1.1 misses the last chunk or bytes of the stated length. One of HTTP/1.0 is not answered in chunks: there
 * the end of the connection is the end of the answer, and an orderly close would make half of an answer whole. It gets a
 * reset, which no client takes for an end.
 *
 * @param response - The answer, of which a part may have been sent.
 */
export function breakOffAnswer(response: ServerResponse): void {
	const {socket} = response;
	if (response.useChunkedEncodingByDefault || socket === null) {
		response.destroy();
		return;
	}

	socket.resetAndDestroy();
}
