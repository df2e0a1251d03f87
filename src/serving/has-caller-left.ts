import {type IncomingMessage} from 'node:http';
import {afterNextPoll} from './after-next-poll.js';

/** With a longer lag a request may have been read together with the close behind it. */
const closeMayWaitMilliseconds = 100;

/**
 * Tells whether the caller of a request has left. A process that was paused reads a request before the close behind it in
 * the same socket, and would have the request worked on for nobody; it looks once more at its sockets first.
 *
 * @param request - The request.
 * @param lagMilliseconds - The present lag of the event loop.
 */
export async function hasCallerLeft({socket}: IncomingMessage, lagMilliseconds: number): Promise<boolean> {
	if (lagMilliseconds > closeMayWaitMilliseconds) {
		await afterNextPoll();
	}

	// Node reports a close to the response some turns of the event loop after it has read it.
	return socket.destroyed || socket.readableEnded;
}
