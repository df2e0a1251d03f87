import {type IncomingMessage} from 'node:http';
import {afterNextPoll} from './after-next-poll.js';
import {HalfClosedCaller} from './half-closed-caller.js';

/** After a longer lag, the close that follows a request may still wait in the request's socket. */
const pollAgainLagMilliseconds = 100;

/**
 * Checks whether the caller of a request has disconnected. A process that was paused reads a request before the close that
 * follows it on the same socket, and would serve it for nobody; so after a long lag the sockets are polled once more first.
 * A caller whose sending side has ended may still read; it gets time to show that it has closed its connection.
 *
 * @param request - The request.
 * @param lagMilliseconds - The present lag of the event loop.
 */
export async function hasCallerDisconnected({socket}: IncomingMessage, lagMilliseconds: number): Promise<boolean> {
	if (lagMilliseconds > pollAgainLagMilliseconds) {
		await afterNextPoll();
	}

	// The socket shows a close at once; Node reports it on the response only some turns of the event loop later.
	return socket.destroyed || await HalfClosedCaller.of(socket)?.hasDisconnected() === true;
}
