import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {openSocket, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** More than the sockets between the gateway and a caller that does not read take up. */
const eventBytes = 12_000_000;

test('a stream whose caller has just read on after a pause is not ended for the time of that pause', async () => {
	const route = testRoute({
		kind: 'resumable-stream', timeoutMilliseconds: 20_000, maxAttempts: 1, maxEventGapMilliseconds: 100,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	await gateway.addEndpoint(async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		// One event, so that nothing waits between the two once it has been read.
		response.write(`id: 1\ndata: ${'x'.repeat(eventBytes)}\n\n`);
		await pause(10_000);
		response.end('id: 999\ndata: last\n\n');
	});
	const socket = await openSocket(gateway.address);
	socket.pause();
	socket.write(rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '20000', connection: 'close',
		}, body: 'x',
	}));
	await pause(8000);
	let answer = '';
	socket.setEncoding('utf8');
	socket.on('data', chunk => {
		answer = (answer + String(chunk)).slice(-1000);
	});
	socket.resume();
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	await gateway.close();
	assert.match(answer, /data: last\n\n[\s\S]*0\r\n\r\n$/v, `${answer.slice(-60)} ${JSON.stringify(gateway.lines)}`);
});
