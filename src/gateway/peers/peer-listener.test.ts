import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {waitUntil} from '../../test/wait-until.js';
import {PeerListener} from './peer-listener.js';

async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

/** Starts a listener, and returns how to connect to it; the listener's ends of the connections are kept in order. */
async function start(context: TestContext, accept: (socket: Socket, noteOpened: () => void) => void, maxConnections?: number): Promise<{open: () => Promise<Socket>; stop: () => void}> {
	const port = await freePort();
	const stop = new AbortController();
	const listener = new PeerListener({address: `127.0.0.1:${port}`, accept, ...(maxConnections === undefined ? {} : {maxConnections})});
	const running = listener.run(stop.signal);
	const sockets: Socket[] = [];
	context.after(async () => {
		stop.abort();
		await running;
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		async open() {
			const socket = connect({host: '127.0.0.1', port});
			sockets.push(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.resume();
			await once(socket, 'connect');
			return socket;
		},
		stop() {
			stop.abort();
		},
	};
}

test('a connection is closed unless its peer says in time what it is for', async context => {
	// Guards against connections that are held for good.
	const {open} = await start(context, (socket, noteOpened) => {
		socket.once('data', noteOpened);
	});
	const [silent, talking] = [await open(), await open()];
	talking.write('x');
	await once(silent, 'close');
	await pause(200);
	assert.equal(talking.closed, false);
});

test('connections beyond the limit are closed at once', async context => {
	let accepted = 0;
	const {open} = await start(context, () => {
		accepted++;
	}, 1);
	const first = await open();
	await waitUntil(() => accepted === 1);
	const second = await open();
	await once(second, 'close');
	assert.equal(first.closed, false);
	assert.equal(accepted, 1);
});

test('all connections are closed when the listener ends', async context => {
	const {open, stop} = await start(context, (_socket, noteOpened) => {
		noteOpened();
	});
	const socket = await open();
	await pause(50);
	stop();
	await once(socket, 'close');
});
