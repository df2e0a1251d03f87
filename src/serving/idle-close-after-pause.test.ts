import assert from 'node:assert/strict';
import {test} from 'node:test';
import {completeAnswers, SteeredCaller} from '../test/steered-caller.js';
import {HttpListener} from './http-listener.js';

const requestBytes = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
/** Node closes an idle connection a second after its timeout. */
const pauseMilliseconds = 1500;

test('an idle connection whose next request arrived during a pause of the process is not closed', async t => {
	// Guards against requests that arrive in time and are closed unread, since timers run before sockets are read.
	const listener = new HttpListener('front', (_request, response) => {
		response.end('answer');
	}, '127.0.0.1:0');
	listener.applyLimits({headersTimeoutMilliseconds: 10_000, idleTimeoutMilliseconds: 100});
	const caller = await SteeredCaller.connect(await listener.listen());
	t.after(async () => {
		await caller.stop();
		await listener.drain();
	});
	await caller.send(requestBytes);
	await caller.answerUntil(answer => completeAnswers(answer).length === 1);
	caller.sendDuringLag(requestBytes, undefined, pauseMilliseconds);
	const answer = await caller.answerUntil(received => completeAnswers(received).length === 2);
	assert.equal(completeAnswers(answer).length, 2);
});

test('a connection that stays idle is closed', async t => {
	// Guards against idle connections that are kept for good.
	const listener = new HttpListener('front', (_request, response) => {
		response.end('answer');
	}, '127.0.0.1:0');
	listener.applyLimits({headersTimeoutMilliseconds: 10_000, idleTimeoutMilliseconds: 100});
	const caller = await SteeredCaller.connect(await listener.listen());
	t.after(async () => {
		await caller.stop();
	});
	await caller.send(requestBytes);
	await caller.answerUntil(answer => completeAnswers(answer).length === 1);
	await caller.answerUntil(() => false);
	assert.equal(caller.isClosed, true);
	await listener.drain();
});
