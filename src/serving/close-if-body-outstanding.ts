import {type IncomingMessage} from 'node:http';
import {noteClose} from './connection-close.js';

/**
 * Time for the rest of a body to arrive after its request was answered. Node goes on reading it, since closing a connection
 * with unread bytes resets it and could lose the answer. Without a limit, a sender that ignores a refusal would be read for as
 * long as a request may take.
 */
const outstandingBodyMilliseconds = 2000;

/** Closes the connection of an answered request unless the rest of its body arrives soon. */
export function closeIfBodyOutstanding(request: IncomingMessage): void {
	const {socket} = request;
	if (request.complete) {
		return;
	}

	setTimeout(() => {
		if (!request.complete) {
			noteClose(socket, 'body-outstanding');
			socket.destroy();
		}
	}, outstandingBodyMilliseconds).unref();
}
