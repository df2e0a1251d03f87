import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, type EndpointBehaviour, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const timeoutMilliseconds = 8000;
const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: String(timeoutMilliseconds), connection: 'close',
	}, body: 'x',
});

async function startGateway(behaviours: EndpointBehaviour[]): Promise<TestGateway> {
	const route = testRoute({timeoutMilliseconds, maxAttempts: behaviours.length});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	const inTurn = behaviours.values();
	for (const _behaviour of behaviours) {
		await gateway.addEndpoint(async (incoming, response) => inTurn.next().value!(incoming, response));
	}

	gateway.context.retryBudget.hasRetry = () => true;
	gateway.context.retryBudget.takeRetry = () => true;
	return gateway;
}

test('a request whose endpoint has ended and whose replacement is silent is sent to the third endpoint', async () => {
	const gateway = await startGateway([
		async (_incoming, response) => {
			await pause(2500);
			response.destroy();
		},
		() => undefined,
		(incoming, response) => {
			answerSealed(incoming, response, {body: 'whole'});
		},
	]);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.equal(statusOf(answer), 200, JSON.stringify(gateway.lines));
});

test('a failure of a silent endpoint is passed on before the deadline although its replacement is silent', async () => {
	const gateway = await startGateway([
		async (incoming, response) => {
			await pause(2500);
			answerSealed(incoming, response, {status: 500, body: 'failure'});
		},
		() => undefined,
	]);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.equal(statusOf(answer), 500, JSON.stringify(gateway.lines));
});
