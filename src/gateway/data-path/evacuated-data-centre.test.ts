import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	errorCodeOf, exchangeRaw, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	},
});

type Context = {after(callback: () => Promise<void>): void};

/** A gateway before an endpoint in each of two data centres; counts the requests that arrive there. */
async function startWithTwo(context: Context) {
	const gateway = await new TestGateway().start();
	context.after(async () => gateway.close());
	const arrivals = {split: 0, zadar: 0};
	for (const dataCentre of ['split', 'zadar'] as const) {
		await gateway.addEndpoint((incoming, response) => {
			arrivals[dataCentre]++;
			answerSealed(incoming, response);
		}, {dataCentre});
	}

	return {gateway, arrivals, now: () => gateway.context.clock.moment().steady};
}

test('an endpoint of an evacuated data centre gets no request until the evacuation is taken back', async context => {
	const {gateway, arrivals, now} = await startWithTwo(context);
	gateway.context.evacuations.begin('row', 'split', now());
	for (let count = 0; count < 10; count++) {
		assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
	}

	assert.deepEqual(arrivals, {split: 0, zadar: 10});
	gateway.context.evacuations.end('row', now());
	for (let count = 0; count < 10; count++) {
		await exchangeRaw(gateway.address, request);
	}

	assert.ok(arrivals.split > 0);
});

test('requests are refused at once as not run while all data centres are evacuated', async context => {
	const {gateway, arrivals, now} = await startWithTwo(context);
	gateway.context.evacuations.begin('one', 'split', now());
	gateway.context.evacuations.begin('other', 'zadar', now());
	const startedAt = performance.now();
	const refusal = await exchangeRaw(gateway.address, request);
	assert.ok(performance.now() - startedAt < 300, 'refused at once');
	assert.equal(statusOf(refusal), 503);
	assert.equal(errorCodeOf(refusal), 'no-endpoint');
	assert.match(refusal, /"ran":"not-run"/v);
	assert.deepEqual(arrivals, {split: 0, zadar: 0});
});

test('an answer that has begun is not cut by the evacuation of its data centre', async context => {
	const gateway = await new TestGateway().start();
	context.after(async () => gateway.close());
	await gateway.addEndpoint(async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '4'});
		response.write('ha');
		await delay(300);
		response.end('lf');
	});
	const answer = exchangeRaw(gateway.address, request);
	await delay(100);
	gateway.context.evacuations.begin('row', 'split', gateway.context.clock.moment().steady);
	assert.match(await answer, /ha[\s\S]*lf/v);
});
