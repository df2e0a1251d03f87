import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	errorCodeOf, exchangeRaw, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {answerSealed, type TestAnswer, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	},
});

type Context = {after(callback: () => Promise<void>): void};

/** A rejection that asks for a rest. */
function rejection(retryAfter: string | undefined): TestAnswer {
	return {status: 503, headers: {[names.notExecuted]: '1', ...(retryAfter === undefined ? {} : {'retry-after': retryAfter})}};
}

/** A gateway before one endpoint, which answers as given, one answer after another, and then with 200. */
async function startWith(context: Context, answers: readonly TestAnswer[]): Promise<{gateway: TestGateway; arrivals: () => number}> {
	const gateway = await new TestGateway().start();
	context.after(async () => gateway.close());
	let arrivals = 0;
	await gateway.addEndpoint((incoming, response) => {
		answerSealed(incoming, response, answers[arrivals++] ?? {});
	});
	return {gateway, arrivals: () => arrivals};
}

test('an endpoint that asks for a rest gets no request until it is over, and callers are refused at once as not run', async context => {
	const {gateway, arrivals} = await startWith(context, [rejection('0.6')]);
	await exchangeRaw(gateway.address, request);
	const refusedAt = performance.now();
	const refusal = await exchangeRaw(gateway.address, request);
	assert.ok(performance.now() - refusedAt < 200, 'refused at once');
	assert.equal(errorCodeOf(refusal), 'overloaded');
	assert.match(refusal, /"ran":"not-run"/v);
	assert.match(refusal, /retry-after: (?:0\.[4-9]|1\b)/iv);
	assert.equal(arrivals(), 1);
	await delay(1000);
	assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
});

test('requests go to other endpoints while one rests', async context => {
	const {gateway, arrivals} = await startWith(context, [rejection('60')]);
	await exchangeRaw(gateway.address, request);
	await gateway.addEndpoint((incoming, response) => {
		answerSealed(incoming, response);
	});
	for (let count = 0; count < 5; count++) {
		assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
	}

	assert.equal(arrivals(), 1);
});

for (const retryAfter of [undefined, '0', '-3', 'soon', '']) {
	test(`a rejection with the Retry-After ${String(retryAfter)} asks for no rest`, async context => {
		const {gateway} = await startWith(context, [rejection(retryAfter)]);
		await exchangeRaw(gateway.address, request);
		assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
	});
}

test('a rest may be an hour, or end at a date', async context => {
	for (const retryAfter of ['3600', new Date(Date.now() + 60_000).toUTCString()]) {
		const {gateway, arrivals} = await startWith(context, [rejection(retryAfter)]);
		await exchangeRaw(gateway.address, request);
		assert.equal(errorCodeOf(await exchangeRaw(gateway.address, request)), 'overloaded');
		assert.equal(arrivals(), 1);
	}
});
