import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {openSocket} from '../test/raw-http.js';
import {waitUntil} from '../test/wait-until.js';
import {abortAnswer} from './abort-answer.js';
import {type CloseReason, connectionCloseOf} from './connection-close.js';
import {defaultListenerBounds, HttpListener} from './http-listener.js';

const requestBytes = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const headersTimeoutMilliseconds = 200;
const longIdleMilliseconds = 15_000;
const shortIdleMilliseconds = 100;

type Ending = {
	bytes?: string;
	answer(response: ServerResponse): void;
	/** What follows after the answer. */
	follow?(listener: HttpListener, caller: Socket): void;
};

function answerWhole(response: ServerResponse): void {
	response.end('hello');
}

const endings: Partial<Record<CloseReason, Ending>> = {
	'answer-aborted': {
		answer(response) {
			response.write('half');
			abortAnswer(response);
		},
	},
	'last-answer': {
		answer(response) {
			response.setHeader('connection', 'close');
			response.end('hello');
		},
	},
	drain: {
		answer: answerWhole,
		follow(listener) {
			void listener.drain();
		},
	},
	'idle-timeout': {answer: answerWhole},
	'request-timeout': {
		answer: answerWhole,
		follow(_listener, caller) {
			caller.write('GET / HTTP/1.1\r\n');
		},
	},
	'body-outstanding': {answer: answerWhole, bytes: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf'},
	'invalid-bytes': {
		answer: answerWhole,
		follow(_listener, caller) {
			caller.write('no request\r\n\r\n');
		},
	},
};

for (const [reason, {answer, bytes = requestBytes, follow}] of Object.entries(endings)) {
	test(`a connection that the listener closes has its reason (${reason})`, async t => {
		// Guards against closes of this process that look like those of the caller.
		const answered: IncomingMessage[] = [];
		const listener = new HttpListener('front', (request, response) => {
			answer(response);
			answered.push(request);
		}, '127.0.0.1:0', {...defaultListenerBounds, checkMilliseconds: 50});
		listener.applyLimits({headersTimeoutMilliseconds, idleTimeoutMilliseconds: reason === 'idle-timeout' ? shortIdleMilliseconds : longIdleMilliseconds});
		const caller = await openSocket(await listener.listen());
		caller.resume();
		t.after(async () => {
			caller.destroy();
			await listener.drain();
		});
		caller.write(bytes);
		await waitUntil(() => answered.length > 0);
		const {socket} = answered[0]!;
		follow?.(listener, caller);
		await waitUntil(() => socket.closed);
		assert.deepEqual(connectionCloseOf(socket), {closedBy: 'instance', closeReason: reason});
	});
}

test('a connection that the caller resets is not taken for one that the listener closes', async t => {
	// Guards against closes of callers that look like those of this process, also while it drains.
	const requests: IncomingMessage[] = [];
	const listener = new HttpListener('front', request => {
		requests.push(request);
	}, '127.0.0.1:0');
	const caller = await openSocket(await listener.listen());
	caller.write(requestBytes);
	await waitUntil(() => requests.length > 0);
	const drained = listener.drain();
	t.after(async () => drained);
	const {socket} = requests[0]!;
	caller.resetAndDestroy();
	await waitUntil(() => socket.closed);
	assert.deepEqual(connectionCloseOf(socket), {closedBy: 'caller', closeReason: 'ECONNRESET'});
});
