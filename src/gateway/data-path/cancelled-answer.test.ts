import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});
// More than Node buffers before it asks for a pause (16 KiB), but so little that the rest of it and the last part are still
// read while paused, however the operating system splits the bytes.
const firstPart = 'f'.repeat(20_000);
const lastPart = 'l'.repeat(5000);

const framings = {
	length: {header: `content-length: ${firstPart.length + lastPart.length}`, wrap: (part: string) => part, end: ''},
	chunked: {header: 'transfer-encoding: chunked', wrap: (part: string) => `${part.length.toString(16)}\r\n${part}\r\n`, end: '0\r\n\r\n'},
	connection: {header: 'connection: close', wrap: (part: string) => part, end: ''},
};

/** Serves one request whose caller reads nothing until the gateway may have cancelled it; returns what the caller then gets. */
async function answerOfCancelled(framing: keyof typeof framings, trigger: 'time-out' | 'silence'): Promise<{answer: string; lines: Array<Record<string, unknown>>}> {
	const {header, wrap, end} = framings[framing];
	const gateway = await new TestGateway(testConfiguration({
		routes: [testRoute({kind: 'idempotent', timeoutMilliseconds: trigger === 'time-out' ? 250 : 2000})],
	})).start();
	const port = Number(gateway.address.split(':')[1]);
	let callerSocket: Socket | undefined;
	const holdWrites = (message: unknown): void => {
		const {server, socket} = message as {server: Server; socket: Socket};
		if ((server.address() as AddressInfo | null)?.port === port) {
			// Acts like a caller whose receive window is full: nothing that is written is sent.
			callerSocket = socket;
			callerSocket.cork();
		}
	};

	subscribe('http.server.request.start', holdWrites);
	await gateway.addEndpoint(async (_request, response) => {
		const socket = response.socket!;
		socket.write(`HTTP/1.1 200 OK\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\n${header}\r\n\r\n${wrap(firstPart)}`);
		await pause(50);
		socket.write(wrap(lastPart) + end);
		if (framing === 'connection') {
			socket.end();
		}
	});
	if (trigger === 'silence') {
		setTimeout(() => {
			gateway.context.placement.isUnresponsive = () => true;
		}, 150);
	}

	const answer = exchangeRaw(gateway.address, post);
	await pause(600);
	callerSocket?.uncork();
	if (trigger === 'time-out') {
		callerSocket?.end();
	}

	const text = await answer;
	unsubscribe('http.server.request.start', holdWrites);
	await gateway.close();
	return {answer: text, lines: gateway.lines};
}

for (const framing of ['length', 'chunked', 'connection'] as const) {
	test(`an answer framed by ${framing} whose last part waits for a slow caller does not look complete after a timeout`, async () => {
		// Guards against an answer without its last part that is framed as a complete one:
		// 1. The caller does not read, so the answer waits here, received to its end. 2. The gateway cancels the attempt at the
		// timeout of the route. 3. Node drops what waits and reports the end of the body, which the parser had found.
		const {answer, lines} = await answerOfCancelled(framing, 'time-out');
		const failureLine = lines.findLast(({kind}) => kind === 'try-failed' || kind === 'request-ended');
		assert.notEqual(lines.findLast(({kind}) => kind === 'request-ended')?.outcome, 'whole', JSON.stringify(lines));
		assert.ok(!answer.endsWith('\r\n0\r\n\r\n'), `${Buffer.byteLength(answer)} bytes, ended as whole; ${JSON.stringify(failureLine)}`);
	});

	test(`an answer framed by ${framing} whose last part waits for a slow caller is not cancelled as unresponsive`, async () => {
		// The endpoint has sent everything and looks unresponsive, since this process does not read while the caller is slow. A
		// cancellation would lose the last part of the answer; the caller must get all of it once it reads.
		const {answer, lines} = await answerOfCancelled(framing, 'silence');
		assert.equal(answer.split('f'.repeat(1000)).length - 1, firstPart.length / 1000, JSON.stringify(lines));
		assert.ok(answer.includes(lastPart), JSON.stringify(lines));
		assert.deepEqual(lines.filter(({kind}) => kind === 'try-failed'), []);
	});
}
