/** Bodies that arrive slowly, at an instance whose memory is limited. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {bodyGraceMilliseconds} from '../../decision/arrivals/arrival-due.js';
import {requestBytes} from '../../decision/memory/held-bytes.js';
import {openSocket, readToEnd, statusOf} from '../../test/raw-http.js';
import {waitUntil} from '../../test/wait-until.js';
import {limitedGateway} from '../testing/limited-gateway.js';
import {answerSealed, type TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const bodyBytes = 3000;

async function openUpload({address}: TestGateway, id: string, length = `content-length: ${bodyBytes}`): Promise<Socket> {
	const socket = await openSocket(address);
	socket.write(`POST / HTTP/1.1\r\nhost: quay.example\r\n${names.attemptId}: ${id}\r\n${names.deadline}: 9000\r\nconnection: close\r\n${length}\r\n\r\n`);
	return socket;
}

async function startGateway(limitBytes: number): Promise<{gateway: TestGateway; arrived: string[]}> {
	const gateway = await limitedGateway({softBytes: limitBytes, hardBytes: 2 * limitBytes, bodyBytes: limitBytes}, 'non-idempotent');
	const arrived: string[] = [];
	await gateway.addEndpoint(async (incoming, response) => {
		arrived.push(await text(incoming));
		answerSealed(incoming, response, {body: 'done'});
	});
	return {gateway, arrived};
}

/** A gateway whose endpoint answers once `finish` is called. */
async function startHoldingGateway(limitBytes: number): Promise<{gateway: TestGateway; arrived: string[]; finish(): void}> {
	const gateway = await limitedGateway({softBytes: limitBytes, hardBytes: 2 * limitBytes, bodyBytes: limitBytes}, 'non-idempotent');
	const arrived: string[] = [];
	const finished = new AbortController();
	await gateway.addEndpoint(async (incoming, response) => {
		arrived.push(await text(incoming));
		await once(finished.signal, 'abort');
		answerSealed(incoming, response, {body: 'done'});
	});
	return {
		gateway, arrived, finish() {
			finished.abort();
		},
	};
}

test('a body that arrives a byte at a time is counted from its first byte, and served', async () => {
	const {gateway, arrived} = await startGateway(1_000_000);
	const socket = await openUpload(gateway, 'slow');
	const answer = readToEnd(socket);
	const body = Array.from({length: bodyBytes}, (_, index) => String(index % 10)).join('');
	for (const byte of body) {
		socket.write(byte);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	assert.match(await answer, /done/v);
	assert.deepEqual(arrived, [body]);
	await waitUntil(() => gateway.context.memory!.bodyBytes === 0);
	await gateway.close();
});

test('bodies beyond the limit are refused as not run before anything is sent to an endpoint, and the others are served', async () => {
	// Guards against callers that send slowly and fill the memory of an instance, which is then killed.
	const {gateway, arrived} = await startGateway((2 * requestBytes) + (3 * bodyBytes));
	const sockets = [await openUpload(gateway, 'first'), await openUpload(gateway, 'second')];
	for (const socket of sockets) {
		socket.write('x');
	}

	await waitUntil(() => gateway.context.memory!.bodyBytes > 2 * requestBytes);
	const refused = await readToEnd(await openUpload(gateway, 'third'));
	assert.equal(statusOf(refused), 503);
	assert.match(refused, /retry-after: 0\.\d+\r\n/v);
	assert.match(refused, /"ran":"not-run"/v);
	const line = gateway.lines.find(({reason}) => reason === 'memory-limit');
	assert.ok(Number(line?.heldBytes) >= 2 * requestBytes, JSON.stringify(line));
	assert.ok(Number(line?.limitBytes) > 0);
	for (const socket of sockets) {
		socket.write('x'.repeat(bodyBytes - 1));
		assert.match(await readToEnd(socket), /done/v);
	}

	assert.equal(arrived.length, 2);
	assert.match(await gateway.context.metrics.registry.metrics(), /savorygauge_memory_outcomes_total\{reason="refused"\} 1/v);
	await waitUntil(() => gateway.context.memory!.bodyBytes === 0);
	await gateway.close();
});

test('a body without a declared length is refused at the first bytes for which there is no room', async () => {
	const {gateway, arrived, finish} = await startHoldingGateway((2 * requestBytes) + 2000);
	const served = await openUpload(gateway, 'served', 'content-length: 100');
	served.write('y'.repeat(100));
	await waitUntil(() => arrived.length === 1);
	const held = gateway.context.memory!.bodyBytes;
	const socket = await openUpload(gateway, 'chunked', 'transfer-encoding: chunked');
	socket.write(`400\r\n${'x'.repeat(1024)}\r\n`);
	await waitUntil(() => gateway.context.memory!.bodyBytes > held + requestBytes);
	socket.write(`400\r\n${'x'.repeat(1024)}\r\n`);
	const answer = await readToEnd(socket);
	assert.equal(statusOf(answer), 503);
	assert.match(answer, /"ran":"not-run"/v);
	assert.equal(arrived.length, 1);
	assert.equal(gateway.context.memory!.bodyBytes, held);
	finish();
	assert.match(await readToEnd(served), /done/v);
	assert.equal(gateway.context.memory!.bodyBytes, 0);
	await gateway.close();
});

test('the only request is served although its body is longer than the limit for all', async () => {
	// Guards against a request inside the limits that is refused in calm on a machine with little memory.
	const {gateway, arrived} = await startGateway(1000);
	const socket = await openUpload(gateway, 'alone', 'transfer-encoding: chunked');
	for (let chunk = 0; chunk < 100; chunk++) {
		socket.write(`400\r\n${'x'.repeat(1024)}\r\n`);
	}

	socket.write('0\r\n\r\n');
	assert.match(await readToEnd(socket), /done/v);
	assert.equal(arrived[0]?.length, 102_400);
	await gateway.close();
});

test('a body that stands still is refused as not run when another request needs its memory', async () => {
	// Guards against bodies that stop short of their end and shut out other callers until their timeout.
	const {gateway, arrived} = await startGateway((2 * requestBytes) + bodyBytes);
	const still = await openUpload(gateway, 'still');
	still.write('x'.repeat(bodyBytes - 1));
	await waitUntil(() => gateway.context.memory!.bodyBytes > requestBytes);
	await pause(bodyGraceMilliseconds + 100);
	const other = await openUpload(gateway, 'other');
	other.write('x'.repeat(bodyBytes));
	assert.match(await readToEnd(other), /done/v);
	const refused = await readToEnd(still);
	assert.equal(statusOf(refused), 503);
	assert.match(refused, /retry-after: 0\.\d+\r\n/v);
	assert.match(refused, /"ran":"not-run"/v);
	assert.equal(arrived.length, 1);
	assert.match(await gateway.context.metrics.registry.metrics(), /savorygauge_memory_outcomes_total\{reason="displaced"\} 1/v);
	assert.equal(gateway.context.memory!.bodyBytes, 0);
	await gateway.close();
});

test('a body that has not arrived by its deadline is refused as not run, and its connection is closed', async () => {
	// Guards against clients that stop short of the end and keep a connection and memory for a minute.
	const {gateway, arrived} = await startGateway(1_000_000);
	const socket = await openSocket(gateway.address);
	socket.write(`POST / HTTP/1.1\r\nhost: quay.example\r\n${names.attemptId}: late\r\n${names.deadline}: 300\r\ncontent-length: 100\r\n\r\nhalf`);
	const answer = await readToEnd(socket);
	assert.equal(statusOf(answer), 503);
	assert.match(answer, /"code":"deadline".*"ran":"not-run"/v);
	assert.deepEqual(arrived, []);
	assert.equal(gateway.context.memory!.bodyBytes, 0);
	await gateway.close();
});

test('a caller that leaves within its body frees the memory', async () => {
	const {gateway, arrived} = await startGateway(1_000_000);
	const socket = await openUpload(gateway, 'leaves');
	socket.write('x'.repeat(100));
	await waitUntil(() => gateway.context.memory!.bodyBytes > 0);
	socket.destroy();
	await waitUntil(() => gateway.context.memory!.bodyBytes === 0);
	assert.deepEqual(arrived, []);
	await gateway.close();
});

test('an instance that stops serves a request whose body is still arriving', async () => {
	const {gateway} = await startGateway(1_000_000);
	const socket = await openUpload(gateway, 'stopping');
	socket.write('x'.repeat(100));
	await waitUntil(() => gateway.context.memory!.bodyBytes > 0);
	const drained = gateway.drain();
	await pause(100);
	socket.write('x'.repeat(bodyBytes - 100));
	assert.match(await readToEnd(socket), /done/v);
	await drained;
	assert.equal(gateway.context.memory!.bodyBytes, 0);
	await gateway.close();
});
