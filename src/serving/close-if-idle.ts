import {type Socket} from 'node:net';
import {afterNextPoll} from './after-next-poll.js';
import {noteClose} from './connection-close.js';

/**
 * Closes a connection whose idle timeout has passed, unless its next request has arrived. After a pause of this process the
 * timer runs before the sockets are read, and the request may wait in one of them.
 */
export async function closeIfIdle(socket: Socket): Promise<void> {
	const {bytesRead} = socket;
	await afterNextPoll();
	if (socket.bytesRead === bytesRead) {
		noteClose(socket, 'idle-timeout');
		socket.destroy();
	}
}
