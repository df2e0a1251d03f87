import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** Pauses after each event: the usual ones last longer together than callers wait for the next event, and the silence does not. */
const pauses = [500, 500, 500, 500, 500, 1600, 0];

test('a silence late in a stream is counted from its last event, not from the arrival of its request', async () => {
	// Guards against a long stream that is taken for abandoned at its first silence.
	const route = testRoute({
		kind: 'resumable-stream', carriesPrompt: true, timeoutMilliseconds: 9000, maxAttempts: 1, maxEventGapMilliseconds: 200,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	await gateway.addEndpoint(async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		for (const [index, milliseconds] of pauses.entries()) {
			response.write(`id: ${index + 1}\ndata: event ${index + 1}\n\n`);
			await pause(milliseconds);
		}

		response.end();
	});
	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example',
			[names.attemptId]: 'a1',
			[names.deadline]: '9000',
			[names.model]: 'lease',
			[names.tokenCount]: '100,10',
			[names.promptParts]: 'ab:100',
			connection: 'close',
		}, body: 'x',
	}));
	await gateway.close();
	assert.match(answer, /data: event 7\n[\s\S]*\r\n0\r\n\r\n$/v, JSON.stringify(gateway.lines));
});
