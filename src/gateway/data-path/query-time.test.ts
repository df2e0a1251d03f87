import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {
	answerSealed, type EndpointBehaviour, sealedHeaders, TestGateway,
} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const objectiveMilliseconds = 300;

test('a prompt waits for coordinators that do not answer half of its objective at most, also if an endpoint rejects it', async context => {
	// Guards against a prompt that is late because it waits for the coordinator again before each attempt.
	const route = testRoute({
		kind: 'resumable-stream', carriesPrompt: true, objectiveMilliseconds, maxAttempts: 2,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	context.after(async () => gateway.close());
	let sends = 0;
	const rejectFirst: EndpointBehaviour = (incoming, response) => {
		sends++;
		if (sends === 1) {
			response.writeHead(503, {...sealedHeaders(incoming), [names.notExecuted]: 'full'}).end();
		} else {
			answerSealed(incoming, response);
		}
	};

	await gateway.addEndpoint(rejectFirst, {name: 'engine-0'});
	await gateway.addEndpoint(rejectFirst, {name: 'engine-1'});
	let waitedMilliseconds = 0;
	gateway.context.peerUpdates.refresh = async (_query, maxMilliseconds) => {
		const milliseconds = Math.max(0, Math.min(120, maxMilliseconds));
		waitedMilliseconds += milliseconds;
		await pause(milliseconds);
	};

	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example',
			[names.attemptId]: 'a1',
			[names.deadline]: '8000',
			[names.model]: 'lease',
			[names.tokenCount]: '100,10',
			[names.promptParts]: 'ab:100',
			connection: 'close',
		}, body: 'x',
	}));
	assert.equal(statusOf(answer), 200, JSON.stringify(gateway.lines));
	assert.equal(sends, 2);
	assert.ok(waitedMilliseconds > 0 && waitedMilliseconds <= objectiveMilliseconds / 2, `${waitedMilliseconds} ms`);
});
