import assert from 'node:assert/strict';
import {type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {openSocket, readToEnd} from '../test/raw-http.js';
import {completeAnswers} from '../test/steered-caller.js';
import {waitUntil} from '../test/wait-until.js';
import {afterNextPoll} from './after-next-poll.js';
import {HttpListener} from './http-listener.js';

const requestBytes = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

test('a drain answers a pipelined request that was read before it', async () => {
	// Guards against requests that are read whole, and sent on, whose connection is closed after the answer before theirs.
	const responses: ServerResponse[] = [];
	const listener = new HttpListener('front', (_request, response) => {
		responses.push(response);
	}, '127.0.0.1:0');
	const caller = await openSocket(await listener.listen());
	const received = readToEnd(caller);
	caller.write(requestBytes + requestBytes);
	await waitUntil(() => responses.length === 2);
	// The head of the first answer is sent, so it can no longer announce the close.
	responses[0]?.writeHead(200, {'content-length': 5});
	responses[0]?.write('fir');
	const drained = listener.drain();
	responses[0]?.end('st');
	await waitUntil(() => responses[0]?.closed === true);
	responses[1]?.end('second');
	await drained;
	assert.equal(completeAnswers(await received).length, 2);
});

test('a pipelined request behind an answer that announces the close is answered or not handled', async t => {
	// Guards against requests that run although HTTP promises their caller that nothing behind such an answer does.
	const responses: ServerResponse[] = [];
	const listener = new HttpListener('front', (_request, response) => {
		responses.push(response);
	}, '127.0.0.1:0');
	const caller = await openSocket(await listener.listen());
	t.after(async () => listener.drain());
	const received = readToEnd(caller);
	listener.announceClose();
	caller.write(requestBytes + requestBytes);
	await waitUntil(() => responses.length > 0);
	await afterNextPoll();
	const handled = responses.length;
	for (const response of responses) {
		response.end('answer');
	}

	assert.equal(completeAnswers(await received).length, handled);
});

test('a drain answers all pipelined requests that were read before it, and announces the close in the last answer', async () => {
	// Guards against a close that an earlier answer announces, after which the later requests get none.
	const responses: ServerResponse[] = [];
	const listener = new HttpListener('front', (_request, response) => {
		responses.push(response);
	}, '127.0.0.1:0');
	const caller = await openSocket(await listener.listen());
	const received = readToEnd(caller);
	caller.write(requestBytes + requestBytes);
	await waitUntil(() => responses.length === 2);
	const drained = listener.drain();
	for (const response of responses) {
		response.end('answer');
	}

	await drained;
	const answers = completeAnswers(await received);
	assert.deepEqual(answers.map(answer => /^connection: close$/imv.test(answer)), [false, true]);
});
