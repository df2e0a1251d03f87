import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
	answerBesideFaulty, attemptId, type FaultyAnswer, type FaultyRequest, sealedHead, soundBody,
} from '../testing/faulty-endpoint.js';
import {ownWireNames as names} from './wire-names.js';

const length = 'content-length: 6\r\n';
const chunks = '6\r\nfaulty\r\n0\r\n';
const interim = 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n';

/** Each is an answer whose body is `faulty`, but for one fault. */
const faultyAnswers: Record<string, string> = {
	...Object.fromEntries(Object.entries({
		'a field name with a blank': 'x note: a',
		'a blank before a colon': 'x-note : a',
		'a tab before a colon': 'x-note\t: a',
		'a tab in a field name': 'x\tnote: a',
		'a control byte in a field name': 'x\u0001note: a',
		'a NUL in a field name': 'x\0note: a',
		'a DEL in a field name': 'x\u007Fnote: a',
		'a letter outside ASCII in a field name': 'x\u00E9note: a',
		'a no-break space in a field name': 'x\u00A0note: a',
		'a quotation mark in a field name': 'x"note: a',
		'an empty field name': ': a',
		'a line without a colon': 'x-note',
		'a folded line': 'x-note: a\r\n b',
		'a NUL in a value': 'x-note: a\0b',
		'a control byte in a value': 'x-note: a\u0001b',
		'a bare CR in a value': 'x-note: a\rb',
		'a blank before the colon of a second length': 'content-length : 2',
		'a blank before the colon of a transfer coding': 'transfer-encoding : chunked',
		'two lengths': 'content-length: 7',
		'a length beside chunks': 'transfer-encoding: chunked',
	}).map(([name, field]) => [name, `${sealedHead(`${field}\r\n${length}`)}faulty`])),
	'a signed length': `${sealedHead('content-length: +6\r\n')}faulty`,
	'a hexadecimal length': `${sealedHead('content-length: 0x6\r\n')}faulty`,
	'a list of lengths': `${sealedHead('content-length: 6, 6\r\n')}faulty`,
	...Object.fromEntries(Object.entries({
		'the status 000': 'HTTP/1.1 000 OK',
		'the status 099': 'HTTP/1.1 099 OK',
		'the status 600': 'HTTP/1.1 600 OK',
		'a status of two digits': 'HTTP/1.1 20 OK',
		'a status of four digits': 'HTTP/1.1 2000 OK',
		'a control byte in the reason': 'HTTP/1.1 200 O\u0001K',
		'the version 9.9': 'HTTP/9.9 200 OK',
		'the version 2.0': 'HTTP/2.0 200 OK',
		'the version 0.9': 'HTTP/0.9 200 OK',
		'a status line of RTSP': 'RTSP/1.0 200 OK',
		'a status line of ICE': 'ICE/1.0 200 OK',
		'an empty line before it': '\r\nHTTP/1.1 200 OK',
		'a protocol in small letters': 'http/1.1 200 OK',
	}).map(([name, statusLine]) => [name, `${sealedHead(length, statusLine)}faulty`])),
	'a field name with a blank in its trailer': `${sealedHead('transfer-encoding: chunked\r\n')}${chunks}x note: a\r\n\r\n`,
	'a length in its trailer': `${sealedHead('transfer-encoding: chunked\r\n')}${chunks}content-length: 1\r\n\r\n`,
	'a chunk size with a sign': `${sealedHead('transfer-encoding: chunked\r\n')}+${chunks}\r\n`,
	'a control byte in a chunk extension': `${sealedHead('transfer-encoding: chunked\r\n')}6;\u0001\r\nfaulty\r\n0\r\n\r\n`,
};

const ways: ReadonlyArray<Omit<FaultyRequest, 'kind'>> = [{}, {isKept: true}, {isRelayed: true}];

/** No caller may take the answer for a complete one; one whose request may be repeated gets that of the other endpoint. */
async function check(context: TestContext, answer: FaultyAnswer, request: FaultyRequest): Promise<void> {
	const {status, text, isComplete} = await answerBesideFaulty(context, answer, request);
	const seen = `${JSON.stringify(request)} ${JSON.stringify(text)}`;
	// The body of an answer is forwarded as it arrives; without its last chunk, its caller does not take it for complete.
	assert.ok(!isComplete || !text.includes('faulty'), seen);
	if (request.kind !== 'non-idempotent') {
		assert.ok(!isComplete || text.includes(soundBody), seen);
	}

	assert.ok([200, 502].includes(status), seen);
}

for (const [name, bytes] of Object.entries(faultyAnswers)) {
	test(`an answer with ${name} is not forwarded as one`, async context => {
		// Guards against a success that the endpoint did not give, or with a body that is not its own.
		for (const kind of ['idempotent', 'non-idempotent', 'resumable-stream'] as const) {
			await check(context, {pieces: [bytes]}, {kind});
		}

		for (const request of ways) {
			await check(context, {pieces: [bytes]}, {kind: 'non-idempotent', ...request});
			await check(context, {pieces: [interim + bytes]}, {kind: 'idempotent', ...request});
		}

		await check(context, {pieces: bytes.match(/[\s\S]{1,40}/gv)!}, {kind: 'non-idempotent'});
	});
}

test('a request that may be repeated is served by another endpoint if the answer has a field name that is no token', async context => {
	// Guards against releases of Node whose parser accepts a blank in a name: the head could not be written, and nothing was repeated.
	for (const field of ['x note: a', 'x-note : a', ': a', 'content-length : 2', 'transfer encoding: chunked']) {
		const faulty = `${sealedHead(`${field}\r\n${length}`)}faulty`;
		const early = `HTTP/1.1 103 Early Hints\r\n${field}\r\n\r\n${sealedHead(length)}faulty`;
		for (const bytes of [faulty, early]) {
			for (const request of ways) {
				for (const kind of ['idempotent', 'resumable-stream'] as const) {
					const {status, text} = await answerBesideFaulty(context, {pieces: [bytes]}, {kind, ...request});
					assert.equal(status, 200, JSON.stringify([field, kind, request, text]));
					assert.ok(text.includes(soundBody) && !text.includes('faulty'), text);
				}

				const {status} = await answerBesideFaulty(context, {pieces: [bytes]}, {kind: 'non-idempotent', ...request});
				assert.equal(status, 502, JSON.stringify([field, request]));
			}
		}
	}
});

test('an answer that ends within its head is not forwarded, wherever it ends', async context => {
	// Guards against an empty or short success that is framed as whole.
	for (const framing of ['content-length: 5\r\n', 'transfer-encoding: chunked\r\n', '']) {
		const head = sealedHead(framing);
		for (const cut of [1, 12, 15, 17, 30, head.length - framing.length - 3, head.length - 4, head.length - 2, head.length - 1]) {
			for (const ending of ['closed', 'reset'] as const) {
				const answer = {pieces: [head.slice(0, cut)], ending};
				const repeated = await answerBesideFaulty(context, answer, {kind: 'idempotent'});
				assert.ok(repeated.status === 200 && repeated.text.includes(soundBody), JSON.stringify([framing, cut, ending, repeated.text]));
				const {status} = await answerBesideFaulty(context, answer, {kind: 'non-idempotent'});
				assert.equal(status, 502, JSON.stringify([framing, cut, ending]));
			}
		}
	}
});

test('bytes that are no answer do not state that a request was not run', async context => {
	// Guards against a promise to the caller that nothing proves; the request may be repeated after it.
	for (const [statusLine, field] of [['HTTP/1.1 503 O\u0001K', ''], ['RTSP/1.0 503 Full', ''], ['HTTP/1.1 429 Full', 'x-note: a\u007Fb\r\n'], ['HTTP/1.1 503 Full', 'transfer-encoding: xchunked\r\n']] as const) {
		const framing = field.startsWith('transfer') ? '' : 'content-length: 0\r\n';
		const {status} = await answerBesideFaulty(context, {pieces: [`${statusLine}\r\n${names.attemptId}: ${attemptId}\r\n${names.notExecuted}: 1\r\n${field}${framing}\r\n`], ending: 'closed'}, {kind: 'non-idempotent'});
		assert.equal(status, 502, statusLine + field);
	}
});

for (const status of [204, 304]) {
	test(`bytes behind an answer with the status ${status}, which has no body, are not forwarded`, async context => {
		for (const isRelayed of [false, true]) {
			const {text} = await answerBesideFaulty(context, {pieces: [`${sealedHead(length, `HTTP/1.1 ${status} X`)}faulty`]}, {kind: 'non-idempotent', isRelayed});
			assert.doesNotMatch(text, /faulty/v);
		}
	});
}
