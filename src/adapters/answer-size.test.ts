import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {writeRepeatedly, flood, startScriptedServer} from '../test/scripted-server.js';
import {exchangeJson} from './http-client.js';
import {HttpCacheStore} from './http-cache-store.js';
import {HttpObjectStore} from './http-object-store.js';
import {HttpPlainService} from './http-plain-service.js';
import {HttpWeightStore} from './http-weight-store.js';

/** Longer than the longest timeout of these calls. */
const maxCallMilliseconds = 8000;
/** Above the size limits, and far below what loopback transfers within the timeouts. */
const maxSentBytes = 400_000_000;
const chunk = `8000\r\n${'f'.repeat(0x80_00)}\r\n`;

const calls: Record<string, (address: string) => Promise<unknown>> = {
	'a JSON server': async address => exchangeJson({method: 'GET', url: `http://${address}/`, timeoutMilliseconds: 1000}).catch(String),
	'a cache store': async address => new HttpCacheStore().leastRecentlyUsed(address, 1),
	'an object store': async address => new HttpObjectStore(address).read('key'),
	'a weight store': async address => new HttpWeightStore(address).versions('model'),
	'a plain service': async address => new HttpPlainService().call(address, {
		requestId: 'r', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0),
	}, AbortSignal.timeout(3000)),
};
type ServerBehaviour = {status: number; write: (socket: Socket) => void};
const serverBehaviours: Record<string, ServerBehaviour> = {
	'answers 200 and floods': {status: 200, write: floodChunks},
	'answers 503 and floods': {status: 503, write: floodChunks},
	'answers 200 and drips': {
		status: 200,
		write(socket) {
			writeRepeatedly(socket, '5\r\nfull \r\n', 50);
		},
	},
};

function floodChunks(socket: Socket): void {
	flood(socket, chunk);
}

for (const [name, call] of Object.entries(calls)) {
	for (const [behaviour, {status, write}] of Object.entries(serverBehaviours)) {
		test(`a call to ${name} that ${behaviour} ends within its limits`, async t => {
			// Guards against an instance that runs out of memory or waits forever because an answer never ends.
			let sent = 0;
			const server = await startScriptedServer(t, socket => {
				socket.once('close', () => {
					sent += socket.bytesWritten;
				});
				socket.write(`HTTP/1.1 ${status} Status\r\ntransfer-encoding: chunked\r\n\r\n`);
				write(socket);
			});
			const startedAt = performance.now();
			await call(server.address);
			assert.ok(performance.now() - startedAt < maxCallMilliseconds);
			assert.equal(await server.allClosedWithin(3000), true);
			assert.ok(sent < maxSentBytes, `${sent} bytes were read`);
		});
	}
}

test('a report without an end is read to a megabyte at most', async t => {
	// Guards against the reports of several engines in trouble that fill the memory together.
	let sent = 0;
	const server = await startScriptedServer(t, socket => {
		socket.once('close', () => {
			sent += socket.bytesWritten;
		});
		socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
		floodChunks(socket);
	});
	await assert.rejects(exchangeJson({
		method: 'GET', url: `http://${server.address}/`, timeoutMilliseconds: 5000, isShort: true,
	}));
	assert.equal(await server.allClosedWithin(3000), true);
	assert.ok(sent < 16_000_000, `${sent} bytes were sent`);
});
