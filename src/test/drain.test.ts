/** A graceful stop of one entry: callers get their answers or a refusal, and the stop completes. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {defaultListenerBounds} from '../serving/http-listener.js';
import {
	errorCodeOf, exchangeRaw, openSocket, rawRequest, readToEnd, readUntil, statusOf,
} from './raw-http.js';
import {TestEntry, testKey} from './test-entry.js';

const shortBounds = {
	...defaultListenerBounds, headersTimeoutMilliseconds: 300, requestTimeoutMilliseconds: 300, checkMilliseconds: 50,
};

function streamRequest(content: string, stream = true): string {
	return rawRequest({
		method: 'POST', path: '/v1/chat/completions', headers: {authorization: `Bearer ${testKey}`}, body: JSON.stringify({model: 'permit-1', messages: [{role: 'user', content}], stream}),
	});
}

const healthRequest = rawRequest({method: 'GET', path: '/readyz'});

async function openStreams(entry: TestEntry, count: number): Promise<Array<Promise<string>>> {
	entry.engine.failNext('riva-engine-1', ...Array.from({length: count}, () => ({kind: 'pause' as const, afterTokens: 2})));
	entry.engine.failNext('riva-engine-2', ...Array.from({length: count}, () => ({kind: 'pause' as const, afterTokens: 2})));
	const answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const socket = await openSocket(entry.callersAddress);
		socket.write(streamRequest(`stream ${index}`, index % 2 === 0));
		return {answer: readToEnd(socket)};
	}));
	await entry.engine.halted(count);
	return answers.map(async ({answer}) => answer);
}

test('a graceful stop completes every open answer, also on keep-alive connections, and ends', async () => {
	// Ten callers are receiving answers when the entry starts to drain. It reports "not ready" first, completes the ten
	// answers and closes their connections. A drain that waited until the callers close keep-alive connections would never
	// end.
	const entry = new TestEntry();
	await entry.start();
	const answers = await openStreams(entry, 10);
	const watcher = await openSocket(entry.callersAddress);
	watcher.write(healthRequest);
	assert.equal(statusOf(await readUntil(watcher, text => text.includes('}'))), 200);
	entry.context.draining = true;
	watcher.write(healthRequest);
	assert.equal(statusOf(await readUntil(watcher, text => text.includes('}'))), 503);
	const drained = entry.callers.drain();
	await assert.rejects(openSocket(entry.callersAddress));
	entry.engine.resume();
	const texts = await Promise.all(answers);
	for (const [index, text] of texts.entries()) {
		assert.equal(statusOf(text), 200);
		assert.match(text, index % 2 === 0 ? /\[DONE\]/v : /"finish_reason":"length"/v);
	}

	await drained;
	await entry.operators.drain();
});

test('a stop does not wait for connections without a complete request', async () => {
	// One connection is idle after its answer, one never sent a byte, one stopped within its headers, and one within its
	// body. None of them has a complete request that the stop could interrupt.
	const entry = new TestEntry(shortBounds);
	await entry.start();
	const [idle, unused, halfHeaders, halfBody] = await Promise.all([1, 2, 3, 4].map(async () => openSocket(entry.callersAddress)));
	idle!.write(healthRequest);
	await readUntil(idle!, text => text.includes('}'));
	halfHeaders!.write('GET /healthz HTTP/1.1\r\nhost:');
	halfBody!.write(streamRequest('half').slice(0, -10));
	const halves = Promise.all([readToEnd(halfHeaders!), readToEnd(halfBody!)]);
	const unusedEnd = readToEnd(unused!);
	// The answer to a later request shows that the entry has read the bytes that were written before it.
	await exchangeRaw(entry.callersAddress, rawRequest({method: 'GET', path: '/healthz', headers: {connection: 'close'}}));
	entry.context.draining = true;
	await Promise.all([entry.callers.drain(), entry.operators.drain(), unusedEnd]);
	for (const answer of await halves) {
		assert.equal(statusOf(answer), 408);
	}
});

test('a request that arrives on an open connection during a stop is refused as not run, and its connection is closed', async () => {
	const entry = new TestEntry();
	await entry.start();
	const socket = await openSocket(entry.callersAddress);
	const [head, body] = streamRequest('late').split('\r\n\r\n') as [string, string];
	socket.write(`${head}\r\n`);
	const answer = readToEnd(socket);
	await exchangeRaw(entry.callersAddress, rawRequest({method: 'GET', path: '/healthz', headers: {connection: 'close'}}));
	entry.context.draining = true;
	const drained = Promise.all([entry.callers.drain(), entry.operators.drain()]);
	socket.write(`\r\n${body}`);
	const text = await answer;
	assert.equal(errorCodeOf(text), 'draining');
	assert.match(text, /"ran":"not-run"/v);
	assert.match(text, /connection: close/iv);
	await drained;
});
