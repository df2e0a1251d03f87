import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {flood} from '../test/scripted-server.js';
import {openSocket, readUntil, statusOf} from '../test/raw-http.js';
import {HttpListener} from './http-listener.js';
import {readBody} from './read-body.js';
import {sendRefusal} from './send-refusal.js';

const limitBytes = 1000;
const closeMilliseconds = 5000;
const chunk = `8000\r\n${'f'.repeat(0x80_00)}\r\n`;

async function startListener(): Promise<{listener: HttpListener; address: string}> {
	const listener = new HttpListener('front', async (request, response) => {
		const body = await readBody(request, limitBytes);
		body.caseOf({
			Left(refusal) {
				sendRefusal(response, refusal);
			},
			Right(bytes) {
				response.end(`whole: ${bytes.length}`);
			},
		});
	}, '127.0.0.1:0');
	return {listener, address: await listener.listen()};
}

const uploads: Record<string, (socket: Socket) => void> = {
	'goes on without a length'(socket) {
		socket.write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
		flood(socket, chunk);
	},
	'goes on with a length'(socket) {
		socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000000000\r\n\r\n');
		flood(socket, chunk);
	},
	'stops within its body'(socket) {
		socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n${'f'.repeat(2000)}`);
	},
};

for (const [name, send] of Object.entries(uploads)) {
	test(`the connection of a refused upload that ${name} is closed`, async () => {
		// Guards against senders that ignore a refusal and cost processor time or hold a connection until the request timeout.
		const {listener, address} = await startListener();
		const socket = await openSocket(address);
		const answer = readUntil(socket, text => text.includes('ran'));
		send(socket);
		assert.equal(statusOf(await answer), 413);
		socket.resume();
		const isClosed = socket.destroyed || await Promise.race([
			new Promise<boolean>(resolve => {
				socket.once('close', () => {
					resolve(true);
				});
			}),
			pause(closeMilliseconds, false),
		]);
		socket.destroy();
		await listener.drain();
		assert.equal(isClosed, true);
	});
}

test('a connection serves further requests after the rest of a refused upload has arrived', async () => {
	// Guards against callers that lose their connection, and perhaps the refusal, although they have sent the whole body.
	const {listener, address} = await startListener();
	const socket = await openSocket(address);
	const refused = readUntil(socket, text => text.includes('ran'));
	socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4000\r\n\r\n${'f'.repeat(2000)}`);
	assert.equal(statusOf(await refused), 413);
	await pause(300);
	const served = readUntil(socket, text => text.includes('whole'));
	socket.write(`${'f'.repeat(2000)}POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc`);
	assert.equal(statusOf(await served), 200);
	await pause(3000);
	assert.equal(socket.destroyed, false);
	socket.end();
	await once(socket, 'close');
	await listener.drain();
});
