/** A test server that writes the given bytes as the answer on each connection and ends the connection in a given way. */
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type TestContext} from 'node:test';

/**
 * How a connection ends.
 *
 * - `reset-with-bytes`: reset right after the last bytes; the caller's Node reports a normal end, not an error.
 * - `reset-later`: reset after the bytes were read; the caller's Node reports an error.
 * - `closed`: closed normally.
 */
export type ConnectionEnding = 'reset-with-bytes' | 'reset-later' | 'closed';

export const connectionEndings: readonly ConnectionEnding[] = ['reset-with-bytes', 'reset-later', 'closed'];

const laterMilliseconds = 3;

/**
 * Starts the server, and stops it at the end of the test.
 *
 * @param context - The test.
 * @param answer - The bytes of the answer, including its head.
 * @param ending - How each connection ends after the answer.
 * @returns `IP:port`.
 */
export async function startEndingServer(context: TestContext, answer: string | Uint8Array, ending: ConnectionEnding): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('data', () => {
			socket.write(answer, () => {
				void end(socket, ending);
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function end(socket: Socket, ending: ConnectionEnding): Promise<void> {
	if (ending === 'closed') {
		socket.end();
		return;
	}

	if (ending === 'reset-later') {
		await delay(laterMilliseconds);
	}

	socket.resetAndDestroy();
}
