import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {HttpListener} from './http-listener.js';

const bodyBytes = 20_000_000;

test('a drain waits for an answer that was ended and is still being read', async () => {
	// Guards against callers on slow links that lose the rest of a complete answer when an instance stops.
	let answered!: () => void;
	const isAnswered = new Promise<void>(resolve => {
		answered = resolve;
	});
	const listener = new HttpListener('front', (_request, response) => {
		response.end('f'.repeat(bodyBytes));
		answered();
	}, '127.0.0.1:0');
	const address = await listener.listen();
	const socket = connect({host: '127.0.0.1', port: Number(address.split(':')[1])});
	socket.on('error', () => {
		// A reset shows in the bytes that are missing.
	});
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await isAnswered;
	const drained = listener.drain();
	await pause(100);
	let received = 0;
	socket.on('data', chunk => {
		received += chunk.length;
	});
	await once(socket, 'close');
	await drained;
	assert.ok(received > bodyBytes, `received ${received} bytes`);
});
