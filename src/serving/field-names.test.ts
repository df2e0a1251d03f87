import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openSocket, readToEnd, statusOf} from '../test/raw-http.js';
import {HttpListener} from './http-listener.js';

test('a request with a field name that is no token is refused, and nothing that follows it is taken for a request', async context => {
	// Guards against requests that are smuggled in a body whose length has a blank in its name.
	const served: string[] = [];
	const listener = new HttpListener('callers', (request, response) => {
		served.push(String(request.url));
		response.end('ok');
	}, '127.0.0.1:0');
	const address = await listener.listen();
	context.after(async () => listener.drain());
	const inner = 'GET /inner HTTP/1.1\r\nhost: x\r\n\r\n';
	for (const field of [`content-length : ${inner.length}`, 'x note: a', ': a', 'transfer-encoding : chunked', 'x\tnote: a', 'x\u0001note: a']) {
		const socket = await openSocket(address);
		socket.write(Buffer.from(`POST /outer HTTP/1.1\r\nhost: x\r\n${field}\r\n\r\n${inner}`, 'latin1'));
		assert.equal(statusOf(await readToEnd(socket)), 400, JSON.stringify(field));
	}

	assert.deepEqual(served, []);
});

test('an answer that is pending is sent before the connection of a request with a blank in a field name is closed', async context => {
	const listener = new HttpListener('callers', (_request, response) => {
		setTimeout(() => {
			response.end('pending');
		}, 50);
	}, '127.0.0.1:0');
	const address = await listener.listen();
	context.after(async () => listener.drain());
	const socket = await openSocket(address);
	socket.write('GET /first HTTP/1.1\r\nhost: x\r\n\r\nGET /second HTTP/1.1\r\nhost: x\r\nx note: a\r\n\r\n');
	const text = await readToEnd(socket);
	assert.match(text, /pending$/v);
	assert.equal(text.split('HTTP/1.1').length, 2, text);
});
