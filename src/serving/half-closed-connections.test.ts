import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request as sendRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {statusOf} from '../test/raw-http.js';
import {completeAnswers, SteeredCaller} from '../test/steered-caller.js';
import {HttpListener} from './http-listener.js';

const noticeMilliseconds = 500;
const longAnswerMilliseconds = 900;
const requestOf = (version: string): string => `GET / HTTP/${version}\r\nhost: a\r\n\r\n`;

type Scene = {
	listener: HttpListener;
	address: string;
	/** Resolves with the answer to the next request, which the test writes. */
	nextAnswer(): Promise<ServerResponse>;
};

async function startListener(t: TestContext): Promise<Scene> {
	const answers: ServerResponse[] = [];
	const arrivals: Array<(response: ServerResponse) => void> = [];
	const listener = new HttpListener('front', (_request, response) => {
		const arrive = arrivals.shift();
		if (arrive === undefined) {
			answers.push(response);
		} else {
			arrive(response);
		}
	}, '127.0.0.1:0');
	const address = await listener.listen();
	t.after(async () => listener.drain());
	return {
		listener,
		address,
		async nextAnswer() {
			return answers.shift() ?? new Promise(resolve => {
				arrivals.push(resolve);
			});
		},
	};
}

async function connectCaller(t: TestContext, address: string): Promise<SteeredCaller> {
	const caller = await SteeredCaller.connect(address);
	t.after(async () => caller.stop());
	return caller;
}

test('a half-closed caller that closes later is noticed within half a second', async t => {
	// Guards against work for callers whose close sends nothing, since they have half-closed before.
	const {address, nextAnswer} = await startListener(t);
	const caller = await connectCaller(t, address);
	await caller.send(requestOf('1.1'), 'half-close');
	const answer = await nextAnswer();
	await pause(longAnswerMilliseconds);
	assert.equal(answer.destroyed, false);
	await caller.send('', 'close');
	await pause(noticeMilliseconds);
	assert.equal(answer.destroyed, true);
});

test('a half-closed caller of an answer that takes long gets it with interim answers before it', async t => {
	// Guards against a probe that disturbs the answer: the final answer must be the one that the handler wrote.
	const {address, nextAnswer} = await startListener(t);
	const caller = await connectCaller(t, address);
	await caller.send(requestOf('1.1'), 'half-close');
	const answer = await nextAnswer();
	await pause(longAnswerMilliseconds);
	answer.end('hello');
	const received = await caller.answerUntil(text => completeAnswers(text).length > 0);
	assert.match(received, /^(?:HTTP\/1\.1 100 Continue\r\n\r\n){2,6}HTTP\/1\.1 200 OK\r\n/v);
	assert.match(received, /\r\n\r\nhello$/v);
});

test('the end of a caller of HTTP/1.0 before its answer is taken for a disconnect', async t => {
	// Guards against interim answers to callers that do not know them, and against work for those that have closed.
	const {address, nextAnswer} = await startListener(t);
	const caller = await connectCaller(t, address);
	await caller.send(requestOf('1.0'), 'close');
	const answer = await nextAnswer();
	await pause(noticeMilliseconds);
	assert.equal(answer.destroyed, true);
});

test('the body of a chunked answer is unchanged though its half-closed caller was probed within it', async t => {
	// Guards against probes that show up in a body.
	const {address, nextAnswer} = await startListener(t);
	const outgoing = sendRequest({host: '127.0.0.1', port: Number(address.split(':')[1]), agent: false});
	outgoing.end();
	const answer = await nextAnswer();
	answer.write('first,');
	const [incoming] = await once(outgoing, 'response') as [IncomingMessage];
	incoming.socket.end();
	await pause(longAnswerMilliseconds);
	answer.write('second,');
	await pause(longAnswerMilliseconds);
	answer.end('third');
	let body = '';
	for await (const chunk of incoming) {
		body += String(chunk);
	}

	assert.equal(body, 'first,second,third');
	assert.equal(incoming.complete, true);
});

test('a half-closed caller of a chunked answer that is silent is noticed when it closes', async t => {
	// Guards against streams that go on for nobody while they have nothing to send.
	const {address, nextAnswer} = await startListener(t);
	const caller = await connectCaller(t, address);
	await caller.send(requestOf('1.1'));
	const answer = await nextAnswer();
	answer.write('first');
	await caller.answerUntil(text => text.includes('first'));
	await caller.send('', 'half-close');
	await pause(longAnswerMilliseconds);
	assert.equal(answer.destroyed, false);
	await caller.send('', 'close');
	await pause(noticeMilliseconds);
	assert.equal(answer.destroyed, true);
});

test('a drain ends after the answer to a half-closed caller that never closes', async t => {
	// Guards against connections that half-closed callers hold for good.
	const {listener, address, nextAnswer} = await startListener(t);
	const caller = await connectCaller(t, address);
	await caller.send(requestOf('1.1'), 'half-close');
	const answer = await nextAnswer();
	const drained = listener.drain().then(() => 'drained');
	await pause(300);
	answer.end('hello');
	assert.equal(await Promise.race([drained, pause(2000, 'held')]), 'drained');
	const received = await caller.answerUntil(text => completeAnswers(text).length > 0);
	assert.equal(statusOf(completeAnswers(received)[0] ?? ''), 200);
});
