import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {afterNextPoll} from './after-next-poll.js';
import {HalfClosedCaller} from './half-closed-caller.js';

/** After a longer lag, the close that follows a request may still wait in the request's socket. */
const pollAgainLagMilliseconds = 100;

/** Connections on which a request has been checked before. */
const checkedConnections = new WeakSet<Socket>();

/**
 * Checks whether the caller of a request has disconnected. A process that was paused reads a request before the close that
 * follows it on the same socket, and would serve it for nobody; so after a long lag the sockets are polled once more first.
 * The same holds for the first request of a connection: libuv accepts one connection in each turn of the event loop, so in a
 * slow process a connection may have waited for seconds, although no turn was long.
 * A caller whose sending side has ended may still read; it gets time to show that it has closed its connection.
 *
 * @param request - The request.
 * @param lagMilliseconds - The present lag of the event loop.
 */
export async function hasCallerDisconnected({socket}: IncomingMessage, lagMilliseconds: number): Promise<boolean> {
	const isFirstCheck = !checkedConnections.has(socket);
	checkedConnections.add(socket);
	if (isFirstCheck || lagMilliseconds > pollAgainLagMilliseconds) {
		await afterNextPoll();
	}

	// The socket shows a close at once; Node reports it on the response only some turns of the event loop later.
	return socket.destroyed || await HalfClosedCaller.of(socket)?.hasDisconnected() === true;
}
