/** A test server whose answers the test writes byte by byte, and which reports when its connections are closed. */
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type TestContext} from 'node:test';

const checkMilliseconds = 20;

/** A running server. */
export type ScriptedServer = {
	/** `IP:port`. */
	address: string;
	/** Returns whether the other side closes every connection within the given milliseconds. */
	allClosedWithin(milliseconds: number): Promise<boolean>;
};

/**
 * Starts the server, and stops it at the end of the test.
 *
 * @param context - The test.
 * @param answer - Called at the first bytes of each connection, to write the answer; the server never closes a connection.
 */
export async function startScriptedServer(context: TestContext, answer: (socket: Socket) => void): Promise<ScriptedServer> {
	const open = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		open.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('end', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			open.delete(socket);
		});
		socket.once('data', () => {
			answer(socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		for (const socket of open) {
			socket.destroy();
		}
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		async allClosedWithin(milliseconds) {
			const deadline = performance.now() + milliseconds;
			while (open.size > 0 && performance.now() < deadline) {
				await delay(checkMilliseconds);
			}

			return open.size === 0;
		},
	};
}

/** Writes the same bytes at an interval until the connection is closed. */
export function writeRepeatedly(socket: Socket, bytes: string, everyMilliseconds: number): void {
	const timer = setInterval(() => {
		socket.write(bytes);
	}, everyMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Writes bytes as fast as the other side reads them, until the connection is closed. */
export function flood(socket: Socket, bytes: string): void {
	const write = (): void => {
		while (!socket.destroyed && socket.write(bytes)) {
			// Until the buffer is full.
		}
	};

	socket.on('drain', write);
	write();
}
