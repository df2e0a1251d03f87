import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '3000', connection: 'close',
	}, body: 'x',
});

test('an answer that has begun is not cut because its endpoint sends nothing for a while', async () => {
	// The caller has the first half of its answer. The endpoint is slow with the rest while another request waits there, so it
	// looks unresponsive. A cancellation would leave the caller with half of an answer, although the endpoint works.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'idempotent'})]})).start();
	let runs = 0;
	const play = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
		runs++;
		response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '10'});
		response.write('first');
		await pause(100);
		gateway.context.placement.isUnresponsive = () => true;
		await pause(600);
		response.end('later');
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.equal(statusOf(answer), 200);
	assert.ok(answer.endsWith('\r\n\r\n5\r\nfirst\r\n5\r\nlater\r\n0\r\n\r\n'), answer);
	assert.equal(runs, 1);
});

test('a request whose endpoint becomes unresponsive before its answer is retried elsewhere, and the log says why', async () => {
	// The endpoint's host loses power: it neither resets the connection nor answers, and the caller would wait until the timeout.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'idempotent'})]})).start();
	let runs = 0;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		runs++;
		if (runs === 1) {
			gateway.context.placement.isUnresponsive = () => runs === 1;
			return;
		}

		response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '5'});
		response.end('whole');
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.ok(answer.endsWith('whole'), answer);
	assert.equal(gateway.lines.find(({kind}) => kind === 'try-failed')?.detail, 'the endpoint became unresponsive');
});
