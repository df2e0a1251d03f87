/** Generated malformed requests of many kinds: the entry neither crashes nor hangs, and each gets a typed error. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {defaultListenerBounds} from '../serving/http-listener.js';
import {
	errorCodeOf, exchangeRaw, openSocket, readToEnd, statusOf,
} from './raw-http.js';
import {TestEntry, testKey} from './test-entry.js';

const bounds = {
	...defaultListenerBounds, headersTimeoutMilliseconds: 150, requestTimeoutMilliseconds: 150, checkMilliseconds: 25,
};
const hangMilliseconds = 5000;
const seed = 20_260_601;

const method = fc.constantFrom('GET', 'POST', 'HEAD', 'OPTIONS', 'PUT', 'TRACE', 'CONNECT', 'get', 'BREW', '', 'P\u0000ST');
const path = fc.oneof(
	fc.constantFrom(
		'/v1/chat/completions',
		'/v1/completions',
		'/v1/models',
		'/healthz',
		'*',
		'//',
		'/%',
		'/%ff%fe',
		'http://elsewhere/v1/models',
		'/services',
		'/services/',
		'/services/bookings',
		'/services/%/x',
		'/services/../v1/models',
		'/services/bookings/bookings',
		'/v1/models?a[b]=%',
		'',
		'no-slash',
		'/\u00E9',
		'/a b',
	),
	fc.webPath(),
	fc.string({unit: 'binary', maxLength: 40}),
);
const version = fc.constantFrom('HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', 'HTTP', '');
const header = fc.oneof(
	fc.constantFrom(
		'content-length: -1',
		'content-length: abc',
		'content-length: 99999999999999999999',
		'content-length: 5',
		'content-length: 0',
		'transfer-encoding: chunked',
		'transfer-encoding: gzip',
		'transfer-encoding: chunked, chunked',
		'expect: 100-continue',
		'expect: the-worst',
		'upgrade: websocket',
		'connection: upgrade',
		'connection: close',
		'authorization: Bearer',
		'authorization: Basic eA==',
		'no colon here',
		': no name',
		'na me: x',
		'host: a, b',
		' folded',
		'x-priority: at-once',
		'x-deadline-milliseconds: -7',
		'x-deadline-milliseconds: 1e400',
		'idempotency-key: ',
		'accept: \u0001',
	),
	fc.constantFrom(`authorization: Bearer ${testKey}`),
	fc.string({unit: 'binary', maxLength: 60}),
);
const body = fc.oneof(
	fc.json(),
	fc.record({
		model: fc.oneof(fc.constant('permit-1'), fc.jsonValue()), messages: fc.jsonValue(), max_tokens: fc.jsonValue(), stream: fc.jsonValue(),
	}, {requiredKeys: []}).map(value => JSON.stringify(value)),
	fc.constantFrom(
		'',
		'{',
		'\u0000',
		'{"__proto__":{"model":"x"}}',
		'['.repeat(5000),
		'{"model":"permit-1","messages":[{"role":"user","content":[1,null,{"type":"text"}]}]}',
		'{"model":"permit-1","messages":[{"role":"user","content":"x"}],"max_tokens":1e308}',
		'5\r\nhello\r\n0\r\n\r\n',
		'zz\r\n',
		'\uFEFF{}',
	),
	fc.string({unit: 'binary', maxLength: 200}),
);
const shaped = fc.record({
	method, path, version, headers: fc.array(header, {maxLength: 6}), body, lineEnd: fc.constantFrom('\r\n', '\r\n', '\r\n', '\n', '\r'),
}).map(parts => Buffer.from([
	`${parts.method} ${parts.path} ${parts.version}`, 'host: x', ...parts.headers, '', parts.body,
].join(parts.lineEnd)));
const nearlyValid = fc.record({shape: fc.constantFrom('chat/completions', 'completions'), body, headers: fc.array(header, {maxLength: 1})}).map(parts => Buffer.from([
	`POST /v1/${parts.shape} HTTP/1.1`, 'host: x', `authorization: Bearer ${testKey}`, `content-length: ${Buffer.byteLength(parts.body)}`, ...parts.headers, '', parts.body,
].join('\r\n')));
const noise = fc.uint8Array({minLength: 1, maxLength: 300}).map(bytes => Buffer.from(bytes));
const request = fc.oneof(shaped, nearlyValid, noise);

/** Checks that an answer is a success or a typed refusal, and not a server error. */
function assertTypedAnswer(answer: string, bytes: Buffer): void {
	const status = statusOf(answer);
	const isHead = bytes.toString('latin1').startsWith('HEAD');
	assert.ok(status >= 200 && status < 500, `status ${status}: ${answer}`);
	assert.ok(status < 400 || isHead || errorCodeOf(answer) !== '', `no typed error: ${answer}`);
}

test('1,000 malformed requests get a typed error each, and the entry continues to serve', async t => {
	// The caller gets 4xx and a reason. Some of these requests are incomplete, some name things that do not exist, and some
	// are not HTTP. A crash would cut the answers of all other callers, and a hang would use up the limit of open requests.
	const entry = new TestEntry(bounds);
	await entry.start();
	t.after(async () => entry.stop());
	let sent = 0;
	await fc.assert(fc.asyncProperty(request, async bytes => {
		sent++;
		const socket = await openSocket(entry.callersAddress);
		const timer = setTimeout(() => {
			socket.destroy(new Error('hang'));
		}, hangMilliseconds);
		const answer = readToEnd(socket);
		socket.end(bytes);
		assertTypedAnswer(await answer, bytes);
		clearTimeout(timer);
	}), {numRuns: 1000, seed});
	const alive = await exchangeRaw(entry.callersAddress, 'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
	assert.equal(statusOf(alive), 200);
	assert.equal(sent, 1000);
});

test('the listener ends a malformed request whose sender waits without end', async t => {
	const entry = new TestEntry(bounds);
	await entry.start();
	t.after(async () => entry.stop());
	const samples = fc.sample(request, {numRuns: 40, seed});
	const answers = await Promise.all(samples.map(async bytes => exchangeRaw(entry.callersAddress, Buffer.concat([bytes, Buffer.from('\r\nx')]))));
	for (const [index, answer] of answers.entries()) {
		assertTypedAnswer(answer, samples[index]!);
	}
});
