/** Callers that are slow, exceed limits or send malformed requests get a clear answer and do not affect other callers. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {after, before, test} from 'node:test';
import {defaultListenerBounds} from '../serving/http-listener.js';
import {
	errorCodeOf, exchangeRaw, openSocket, rawRequest, readToEnd, readUntil, statusOf,
} from './raw-http.js';
import {TestEntry, testKey} from './test-entry.js';

const shortBounds = {
	...defaultListenerBounds, headersTimeoutMilliseconds: 300, requestTimeoutMilliseconds: 400, checkMilliseconds: 50,
};
const authorization = `Bearer ${testKey}`;
const entry = new TestEntry();

before(async () => {
	await entry.start();
	entry.configure([
		{action: 'set', kind: 'limit', item: {name: 'body-bytes', value: 2000}},
		{action: 'set', kind: 'limit', item: {name: 'open-requests', value: 4}},
		{action: 'set', kind: 'limit', item: {name: 'open-requests-per-workspace', value: 2}},
	]);
});

after(async () => entry.stop());

function prompt(content: string, further: Record<string, unknown> = {}): string {
	return JSON.stringify({model: 'permit-1', messages: [{role: 'user', content}], ...further});
}

function completion(body: string, headers: Record<string, string> = {}): string {
	return rawRequest({
		method: 'POST', path: '/v1/chat/completions', headers: {authorization, ...headers}, body,
	});
}

const close = {connection: 'close'};

test('a body whose declared length is over the limit is refused before it is sent', async () => {
	const head = completion('x'.repeat(5000)).split('\r\n\r\n')[0]!;
	const socket = await openSocket(entry.callersAddress);
	socket.write(`${head}\r\n\r\n`);
	const answer = await readUntil(socket, text => text.includes('}}'));
	assert.equal(statusOf(answer), 413);
	assert.equal(errorCodeOf(answer), 'too-large');
	socket.destroy();
});

test('a body of unknown length is refused at the first byte over the limit, and the caller can read the refusal', async () => {
	// The caller continues to send its body. Closing at once would reset the connection, and the caller would see a broken
	// connection in place of the refusal; therefore the rest of the body is read and discarded.
	const socket = await openSocket(entry.callersAddress);
	const head = rawRequest({method: 'POST', path: '/v1/chat/completions', headers: {authorization, 'transfer-encoding': 'chunked'}});
	socket.write(head);
	socket.write(`${(3000).toString(16)}\r\n${'x'.repeat(3000)}\r\n`);
	const answer = await readUntil(socket, text => text.includes('}}'));
	assert.equal(errorCodeOf(answer), 'too-large');
	socket.write(`${(3000).toString(16)}\r\n${'x'.repeat(3000)}\r\n0\r\n\r\n`);
	socket.write(rawRequest({method: 'GET', path: '/healthz', headers: close}));
	assert.equal(statusOf(await readToEnd(socket)), 200);
});

test('Expect: 100-continue is answered when the body is wanted, and with the refusal when it is not', async () => {
	const wanted = await openSocket(entry.callersAddress);
	const [head, body] = completion(prompt('short'), {expect: '100-continue', ...close}).split('\r\n\r\n') as [string, string];
	wanted.write(`${head}\r\n\r\n`);
	assert.match(await readUntil(wanted, text => text.includes('\r\n\r\n')), /^HTTP\/1\.1 100 Continue/v);
	wanted.write(body);
	assert.equal(statusOf(await readToEnd(wanted)), 200);
	const refused = await exchangeRaw(entry.callersAddress, `${completion('x'.repeat(5000), {expect: '100-continue'}).split('\r\n\r\n')[0]!}\r\n\r\n`);
	assert.equal(statusOf(refused), 413);
	assert.match(refused, /connection: close/v);
});

test('headers or a request line over the limit get a typed 431', async () => {
	for (const bytes of [
		rawRequest({method: 'GET', path: '/healthz', headers: {long: 'x'.repeat(40_000)}}),
		rawRequest({method: 'GET', path: `/${'x'.repeat(40_000)}`}),
	]) {
		const answer = await exchangeRaw(entry.callersAddress, bytes);
		assert.equal(statusOf(answer), 431);
		assert.equal(errorCodeOf(answer), 'too-large');
	}
});

test('a header that follows thousands of others is still read', async () => {
	// By default Node drops all headers after the 2,000th. If the idempotency key were dropped, a booking could run twice.
	// In this test the API key follows 3,000 other headers; if it were dropped, the caller would get 401.
	const filler = Array.from({length: 3000}, (_, index): [string, string] => [`h${index.toString(36)}`, '']);
	const answer = await exchangeRaw(entry.callersAddress, rawRequest({method: 'GET', path: '/v1/models', headers: {...Object.fromEntries(filler), authorization, ...close}}));
	assert.equal(statusOf(answer), 200);
});

test('a caller that sends its headers or its body too slowly gets 408', async t => {
	const strict = new TestEntry(shortBounds);
	await strict.start();
	t.after(async () => strict.stop());
	const slowHeaders = await exchangeRaw(strict.callersAddress, 'GET /healthz HTTP/1.1\r\nhost: x\r\n');
	const slowBody = await exchangeRaw(strict.callersAddress, `${completion(prompt('slow')).slice(0, -5)}`);
	for (const answer of [slowHeaders, slowBody]) {
		assert.equal(statusOf(answer), 408);
		assert.equal(errorCodeOf(answer), 'too-slow');
	}
});

test('open requests are limited per workspace, and a request stops counting when its answer has ended', async () => {
	entry.engine.failNext('riva-engine-1', {kind: 'pause', afterTokens: 1});
	entry.engine.failNext('riva-engine-2', {kind: 'pause', afterTokens: 1});
	const first = exchangeRaw(entry.callersAddress, completion(prompt('one', {stream: true}), close));
	await entry.engine.halted();
	const second = exchangeRaw(entry.callersAddress, completion(prompt('two', {stream: true}), close));
	await entry.engine.halted(2);
	const third = await exchangeRaw(entry.callersAddress, completion(prompt('three'), close));
	assert.equal(statusOf(third), 429);
	assert.equal(errorCodeOf(third), 'too-many-open');
	assert.match(third, /retry-after: 1/v);
	entry.engine.resume();
	assert.match(await first, /\[DONE\]/v);
	assert.match(await second, /\[DONE\]/v);
	assert.equal(statusOf(await exchangeRaw(entry.callersAddress, completion(prompt('four'), close))), 200);
});

test('when a caller disconnects, its request is cancelled at the engine at once', async () => {
	entry.engine.failNext('riva-engine-1', {kind: 'stall', afterTokens: 1});
	entry.engine.failNext('riva-engine-2', {kind: 'stall', afterTokens: 1});
	const cancelledBefore = entry.engine.cancelled;
	const socket = await openSocket(entry.callersAddress);
	socket.write(completion(prompt('never mind', {stream: true})));
	await entry.engine.halted();
	socket.destroy();
	await once(socket, 'close');
	while (entry.engine.cancelled === cancelledBefore) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	assert.equal(entry.engine.cancelled, cancelledBefore + 1);
});

test('when a caller disconnects, its idempotent call to a plain service is cancelled', async () => {
	entry.plain.isHeld = true;
	const socket = await openSocket(entry.callersAddress);
	socket.write(rawRequest({method: 'GET', path: '/services/bookings/bookings/pitch-4', headers: {authorization}}));
	await entry.plain.called();
	socket.destroy();
	await entry.plain.cancelled();
	entry.plain.isHeld = false;
});

test('HEAD, OPTIONS, wrong and unknown methods are answered as HTTP specifies', async () => {
	const ask = async (method: string, path: string): Promise<string> => exchangeRaw(entry.callersAddress, rawRequest({method, path, headers: {authorization, ...close}}));
	const head = await ask('HEAD', '/v1/models');
	assert.equal(statusOf(head), 200);
	assert.ok(head.endsWith('\r\n\r\n'));
	assert.equal(statusOf(await ask('HEAD', '/healthz')), 200);
	const options = await ask('OPTIONS', '/v1/completions');
	assert.equal(statusOf(options), 204);
	assert.match(options, /allow: POST, OPTIONS/v);
	const wrong = await ask('DELETE', '/v1/models');
	assert.equal(statusOf(wrong), 405);
	assert.equal(errorCodeOf(wrong), 'bad-request');
	const unknown = await ask('BREW', '/v1/models');
	assert.equal(statusOf(unknown), 400);
	assert.equal(errorCodeOf(unknown), 'bad-request');
	assert.equal(statusOf(await ask('CONNECT', '127.0.0.1:1')), 400);
});

test('pipelined requests on one connection are answered in order', async () => {
	const bytes = [
		completion(prompt('first')),
		rawRequest({method: 'GET', path: '/healthz'}),
		rawRequest({method: 'GET', path: '/v1/models', headers: {authorization, ...close}}),
	].join('');
	const answer = await exchangeRaw(entry.callersAddress, bytes);
	const positions = ['chat.completion', '"status":"alive"', '"object":"list"'].map(text => answer.indexOf(text));
	assert.ok(positions.every(position => position > 0));
	assert.deepEqual(positions, positions.toSorted((left, right) => left - right));
});

test('invalid bytes after a valid request do not cut the answer to that request', async () => {
	// The caller reads a stream, and has sent invalid bytes after its request on the same connection. Node answers a parse
	// error by writing to the socket at once, which would corrupt the stream.
	entry.engine.failNext('riva-engine-1', {kind: 'pause', afterTokens: 1});
	entry.engine.failNext('riva-engine-2', {kind: 'pause', afterTokens: 1});
	const socket = await openSocket(entry.callersAddress);
	const answer = readToEnd(socket);
	socket.write(`${completion(prompt('whole', {stream: true}))}rubbish\r\n\r\n`);
	await entry.engine.halted();
	entry.engine.resume();
	assert.match(await answer, /\[DONE\]\n\n\r\n0\r\n\r\n$/v);
});
