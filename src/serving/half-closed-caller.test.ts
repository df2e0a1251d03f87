import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {abortAnswer} from './abort-answer.js';
import {HttpListener} from './http-listener.js';

/** Common clients accept no chunk size with more digits. */
const maxChunkSizeDigits = 16;
const silenceMilliseconds = 4800;
const noticeMilliseconds = 500;

type Caller = {socket: Socket; ended: Promise<'end' | 'error'>; received(): string};

/** Serves each request with a handler; returns a caller that is connected, and whose received bytes are kept. */
async function connectCaller(t: TestContext, handle: (response: ServerResponse) => Promise<void>): Promise<Caller> {
	const listener = new HttpListener('front', async (request, response) => {
		request.resume();
		await handle(response);
	}, '127.0.0.1:0');
	const address = await listener.listen();
	const socket = connect({host: '127.0.0.1', port: Number(address.split(':')[1]), allowHalfOpen: true});
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	const ended = new Promise<'end' | 'error'>(resolve => {
		for (const event of ['end', 'error'] as const) {
			socket.once(event, () => {
				resolve(event);
			});
		}
	});
	await once(socket, 'connect');
	t.after(async () => {
		socket.destroy();
		await listener.drain();
	});
	return {socket, ended, received: () => text};
}

test('a long silence within a streamed answer to a half-closed caller leaves its chunk sizes readable', async t => {
	// Guards against clients that give up an answer since a chunk size has too many digits.
	const caller = await connectCaller(t, async response => {
		response.write('first');
		await pause(silenceMilliseconds);
		response.end('last');
	});
	caller.socket.end('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	assert.equal(await caller.ended, 'end');
	const size = /first\r\n(?<size>[\da-f]+)\r\nlast/v.exec(caller.received())?.groups?.size ?? '';
	assert.ok(size.length > 0 && size.length <= maxChunkSizeDigits, `received: ${JSON.stringify(caller.received())}`);
});

test('an answer to a half-closed caller that is aborted does not look complete', async t => {
	// Guards against clients, such as Python's http.client, that take a lone zero before an orderly end for the last chunk.
	const caller = await connectCaller(t, async response => {
		response.write('first half');
		await pause(noticeMilliseconds);
		abortAnswer(response);
	});
	caller.socket.end('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	const end = await caller.ended;
	assert.ok(end === 'error' || !/\r\n0+$/v.test(caller.received()), `ended in order after: ${JSON.stringify(caller.received())}`);
});

test('all pipelined requests of a caller that closes are told of it', async t => {
	// Guards against work for nobody, and open requests that are counted for ever: Node tells only the answer being sent.
	let open = 0;
	const caller = await connectCaller(t, async response => {
		open++;
		response.once('close', () => {
			open--;
		});
	});
	caller.socket.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n');
	await pause(noticeMilliseconds);
	assert.equal(open, 2);
	caller.socket.destroy();
	await pause(noticeMilliseconds);
	assert.equal(open, 0);
});

for (const isWithin of [false, true]) {
	test(`a caller that half-closes and later closes ${isWithin ? 'within' : 'before'} its answer is noticed`, async t => {
		// Guards against a single probe: it is accepted by a caller that closes only afterwards.
		let noticedAt = Number.POSITIVE_INFINITY;
		const caller = await connectCaller(t, async response => {
			response.once('close', () => {
				noticedAt = performance.now();
			});
			if (isWithin) {
				response.write('first');
			}
		});
		caller.socket.end('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		await pause(2 * noticeMilliseconds);
		const leftAt = performance.now();
		caller.socket.destroy();
		await pause(2 * noticeMilliseconds);
		assert.ok(noticedAt > leftAt && noticedAt - leftAt <= noticeMilliseconds, `noticed after ${noticedAt - leftAt} ms`);
	});
}
