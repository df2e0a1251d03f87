import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, type EndpointBehaviour, TestGateway} from '../testing/test-gateway.js';
import {framingOf, classifyBodyEnd} from './answer-transfer.js';
import {ownWireNames as names} from './wire-names.js';

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});

test('the framing of an answer is determined from its head', () => {
	assert.equal(framingOf({statusCode: 200, headers: {'content-length': '0'}}, 'GET'), 'length');
	assert.equal(framingOf({statusCode: 200, headers: {'transfer-encoding': 'gzip, Chunked'}}, 'GET'), 'chunked');
	assert.equal(framingOf({statusCode: 200, headers: {'transfer-encoding': 'gzip,\tchunked '}}, 'GET'), 'chunked');
	for (const coding of ['\u00A0chunked', 'chunked\u00A0', '\u000Bchunked', 'chunked, gzip', 'x-chunked']) {
		assert.equal(framingOf({statusCode: 200, headers: {'transfer-encoding': coding}}, 'GET'), 'connection', coding);
	}

	assert.equal(framingOf({statusCode: 200, headers: {}}, 'GET'), 'connection');
	assert.equal(framingOf({statusCode: 200, headers: {'content-length': '9'}}, 'HEAD'), 'none');
	assert.equal(framingOf({statusCode: 204, headers: {}}, 'GET'), 'none');
});

test('a body is complete only if its own framing proves it', () => {
	// Node reports the end of a body also after a reset or a cancellation. Each framing has one proof that all of it arrived.
	const classify = (framing: 'length' | 'chunked' | 'connection', connectionEnd: 'open' | 'in-order' | 'reset' | 'cancelled', bodyBytes = 8, stopsWithinEvent = false): string => classifyBodyEnd({
		framing, promisedBytes: 8, isComplete: true, stopsWithinEvent, connectionEnd,
	}, bodyBytes);
	const ends = ['open', 'in-order', 'reset', 'cancelled'] as const;
	assert.deepEqual(ends.map(end => classify('length', end, 7)), ['short', 'short', 'reset', 'cancelled']);
	assert.deepEqual(ends.map(end => classify('length', end)), ['in-order', 'in-order', 'in-order', 'in-order']);
	assert.deepEqual(ends.map(end => classify('chunked', end)), ['in-order', 'in-order', 'in-order', 'cancelled']);
	assert.deepEqual(ends.map(end => classify('connection', end)), ['short', 'in-order', 'reset', 'cancelled']);
	assert.deepEqual(ends.map(end => classify('connection', end, 8, true)), ['short', 'short', 'reset', 'cancelled']);
});

test('a body whose end the parser did not find is incomplete with any framing', () => {
	const ends = ['open', 'in-order', 'reset', 'cancelled'] as const;
	for (const framing of ['length', 'chunked', 'connection', 'none'] as const) {
		const bodyEnds = ends.map(connectionEnd => classifyBodyEnd({
			framing, promisedBytes: 8, isComplete: false, stopsWithinEvent: false, connectionEnd,
		}, 8));
		assert.deepEqual(bodyEnds, ['short', 'short', 'reset', 'cancelled'], framing);
	}
});

async function linesOf(play: EndpointBehaviour, requests = 1): Promise<Array<Record<string, unknown>>> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'non-idempotent'})]})).start();
	await gateway.addEndpoint(play);
	for (let sent = 0; sent < requests; sent++) {
		await exchangeRaw(gateway.address, post);
	}

	await gateway.close();
	return gateway.lines;
}

const unframedHead = `HTTP/1.1 200 OK\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\nconnection: close\r\n\r\n`;

for (const {name, play, line, transfer} of [
	{
		name: 'a reset', line: 'try-failed', transfer: {
			connection: 'new', framing: 'connection', bodyBytes: 4, bodyEnd: 'reset',
		},
		play(_request, response) {
			response.socket!.write(`${unframedHead}half`, () => {
				setTimeout(() => {
					response.socket!.resetAndDestroy();
				}, 20);
			});
		},
	},
	{
		name: 'an end in order before the stated length', line: 'try-failed', transfer: {
			connection: 'new', framing: 'length', bodyBytes: 4, bodyEnd: 'short',
		},
		play(_request, response) {
			response.socket!.end(`${unframedHead.replace('connection: close', 'content-length: 8')}half`);
		},
	},
	{
		name: 'an answer that ends with its connection', line: 'request-ended', transfer: {
			connection: 'new', framing: 'connection', bodyBytes: 5, bodyEnd: 'in-order',
		},
		play(_request, response) {
			response.socket!.end(`${unframedHead}whole`);
		},
	},
] as Array<{name: string; line: string; transfer: Record<string, unknown>; play: EndpointBehaviour}>) {
	test(`the log distinguishes ${name} from other ends`, async () => {
		// A caller reports half of an answer. Only the line of the attempt or of the request can show afterwards whether the
		// endpoint's host died, the endpoint closed the connection too early, or the answer itself was short.
		const lines = await linesOf(play);
		assert.deepEqual(lines.find(({kind}) => kind === line)?.transfer, transfer, JSON.stringify(lines));
	});
}

test('the line of a normal complete answer has no transfer', async () => {
	const lines = await linesOf((request, response) => {
		answerSealed(request, response, {body: 'whole', headers: {'keep-alive': 'timeout=5'}});
	}, 2);
	const ended = lines.filter(({kind}) => kind === 'request-served' || kind === 'request-ended');
	assert.deepEqual(ended.map(({transfer}) => transfer), [undefined, undefined]);
});
