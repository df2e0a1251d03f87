import assert from 'node:assert/strict';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {flood} from '../../test/scripted-server.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** Far below what loopback transfers until the deadline; above the longest event, 16 MiB, and what the connections buffer. */
const maxSentBytes = 32_000_000;
const deadlineMilliseconds = 4000;
const maxAnswerMilliseconds = 2000;
const piece = 'f'.repeat(0x40_00);
/** About as long as a usual event. */
const smallPiece = 'f'.repeat(65);

const request = (path: string): string => rawRequest({
	method: 'GET', path, headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: String(deadlineMilliseconds), connection: 'close',
	},
});

const endlessAnswers: Record<string, (socket: Socket, head: string) => void> = {
	'a chunked body'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`);
		flood(socket, `${piece.length.toString(16)}\r\n${piece}\r\n`);
	},
	'a body with a length'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\ncontent-length: 100000000000\r\n\r\n`);
		flood(socket, piece);
	},
	'a body without a length'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\nconnection: close\r\n\r\n`);
		flood(socket, piece);
	},
	'a header'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}x-more: `);
		flood(socket, piece);
	},
	'many headers'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}`);
		flood(socket, 'x-more: f\r\n'.repeat(1000));
	},
	'a trailer'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\ntrailer: x-more\r\n\r\n0\r\nx-more: `);
		flood(socket, piece);
	},
	'a chunk extension'(socket, head) {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n5;`);
		flood(socket, piece);
	},
	'interim answers'(socket, _head) {
		flood(socket, 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500));
	},
};

/** Sends a stream whose endpoint sends bytes without an end, and beside it one of another endpoint; both must be answered in time. */
async function sendBesideEndless(context: TestContext, write: (socket: Socket, head: string) => void, maxMilliseconds: number): Promise<void> {
	const gateway = await new TestGateway(testConfiguration({
		routes: [testRoute({kind: 'resumable-stream', timeoutMilliseconds: deadlineMilliseconds})],
	})).start();
	context.after(async () => gateway.close());
	let sent = 0;
	await gateway.addEndpoint((incoming, response: ServerResponse) => {
		const {socket} = incoming;
		if (incoming.url !== '/endless') {
			answerSealed(incoming, response, {body: 'data: other\n\n', headers: {'content-type': 'text/event-stream'}});
			return;
		}

		socket.once('close', () => {
			sent += socket.bytesWritten;
		});
		write(socket, Object.entries(sealedHeaders(incoming)).map(([field, value]) => `${field}: ${value}\r\n`).join(''));
	}, {slots: 60});
	await gateway.addEndpoint((incoming, response) => {
		answerSealed(incoming, response, {body: 'data: whole\n\n', headers: {'content-type': 'text/event-stream'}});
	}, {slots: 4});
	const startedAt = performance.now();
	const endless = exchangeRaw(gateway.address, request('/endless'));
	const other = await exchangeRaw(gateway.address, request('/other'));
	assert.equal(statusOf(other), 200);
	assert.ok(performance.now() - startedAt < maxAnswerMilliseconds, 'another caller was served meanwhile');
	const answer = await endless;
	assert.ok(performance.now() - startedAt < maxMilliseconds, `answered after ${Math.round(performance.now() - startedAt)} ms`);
	assert.equal(statusOf(answer), 200);
	assert.match(answer, /data: whole/v);
	assert.ok(sent < maxSentBytes, `${sent} bytes were read`);
}

for (const [name, write] of Object.entries(endlessAnswers)) {
	test(`${name} without an end fills no memory, and the stream is served by another endpoint while other callers are served`, async context => {
		await sendBesideEndless(context, write, maxAnswerMilliseconds);
	});
}

test('a body without an end in small pieces blocks no other caller, and the stream is served by another endpoint before its deadline', async context => {
	// Guards against time that grows with what is held: with each piece, the list of all pieces before it was copied.
	await sendBesideEndless(context, (socket, head) => {
		socket.write(`HTTP/1.1 200 OK\r\n${head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`);
		flood(socket, `${smallPiece.length.toString(16)}\r\n${smallPiece}\r\n`.repeat(200));
	}, deadlineMilliseconds);
});
