import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	errorCodeOf, exchangeRaw, openSocket, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {type PermitAnswer, type PermitQuery} from '../coordinator/coordinator-messages.js';
import {PermitGrants} from '../coordinator/permit-grants.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {EndpointLimits} from './endpoint-limits.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	},
});

test('the log shows when an endpoint names a limit, changes it and names none any more', async () => {
	const gateway = await new TestGateway().start();
	const limits = ['1000', '1000', '2000', 'many', undefined, ''];
	let number = 0;
	await gateway.addEndpoint((incoming, response) => {
		const limit = limits[number++];
		answerSealed(incoming, response, {headers: limit === undefined ? {} : {[names.endpointLimit]: limit}});
	});
	for (const _ of limits) {
		let answer = await exchangeRaw(gateway.address, request);
		while (statusOf(answer) === 429) {
			answer = await exchangeRaw(gateway.address, request);
		}
	}

	await gateway.close();
	assert.deepEqual(gateway.lines.filter(({kind}) => kind === 'limit-named').map(({limitPerSecond}) => limitPerSecond), [1000, 2000, null]);
});

/** What the log of a gateway says about limits. */
function limitsNamed({lines}: TestGateway): unknown[] {
	return lines.filter(({kind}) => kind === 'limit-named').map(({limitPerSecond}) => limitPerSecond);
}

test('a rejection that does not name a limit does not end it', async () => {
	const gateway = await new TestGateway().start();
	const answers = [
		{headers: {[names.endpointLimit]: '1000'}},
		{status: 503, headers: {[names.notExecuted]: '1'}},
		{status: 500},
	];
	let number = 0;
	await gateway.addEndpoint((incoming, response) => {
		answerSealed(incoming, response, answers[number++]);
	});
	for (const _ of answers) {
		let answer = await exchangeRaw(gateway.address, request);
		while (statusOf(answer) === 429) {
			answer = await exchangeRaw(gateway.address, request);
		}
	}

	await gateway.close();
	assert.deepEqual(limitsNamed(gateway), [1000]);
});

test('a limit ends at a service that answers with redirects or errors of the request', async () => {
	for (const status of [302, 404]) {
		const gateway = await new TestGateway().start();
		let number = 0;
		await gateway.addEndpoint((incoming, response) => {
			answerSealed(incoming, response, {status, headers: number++ === 0 ? {[names.endpointLimit]: '1000'} : {}});
		});
		for (let count = 0; count < 2; count++) {
			let answer = await exchangeRaw(gateway.address, request);
			while (statusOf(answer) === 429) {
				answer = await exchangeRaw(gateway.address, request);
			}
		}

		await gateway.close();
		assert.deepEqual(limitsNamed(gateway), [1000, null]);
	}
});

test('an answer to a request that was sent before a limit was named neither ends nor raises it', async () => {
	const gateway = await new TestGateway().start();
	const waiting = new EventTarget();
	const late = [undefined, '2000'];
	let number = 0;
	await gateway.addEndpoint(async (incoming, response) => {
		const limit = late[number];
		if (number++ < late.length) {
			waiting.dispatchEvent(new Event('waits'));
			await once(waiting, 'limit named');
			answerSealed(incoming, response, {headers: limit === undefined ? {} : {[names.endpointLimit]: limit}});
			return;
		}

		answerSealed(incoming, response, {headers: {[names.endpointLimit]: '1000'}});
	});
	const answered: Array<Promise<string>> = [];
	for (const _ of late) {
		const waits = once(waiting, 'waits');
		answered.push(exchangeRaw(gateway.address, request));
		await waits;
	}

	await exchangeRaw(gateway.address, request);
	waiting.dispatchEvent(new Event('limit named'));
	await Promise.all(answered);
	await gateway.close();
	assert.deepEqual(limitsNamed(gateway), [1000]);
});

test('a request goes to an endpoint without a limit, or is refused as not run at once, where the limit leaves no room', async () => {
	const gateway = await new TestGateway().start();
	const reached: string[] = [];
	const answering = (name: string, limit?: string) => async (incoming: Parameters<typeof answerSealed>[0], response: Parameters<typeof answerSealed>[1]): Promise<void> => {
		reached.push(name);
		answerSealed(incoming, response, {headers: limit === undefined ? {} : {[names.endpointLimit]: limit}});
	};

	await gateway.addEndpoint(answering('limited', '0.1'), {name: 'limited', slots: 6});
	assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
	const refusal = await exchangeRaw(gateway.address, request);
	assert.equal(errorCodeOf(refusal), 'overloaded');
	assert.match(refusal, /"ran":"not-run"/v);
	assert.match(refusal, /retry-after: 1/iv);
	await gateway.addEndpoint(answering('free'), {name: 'free', slots: 1});
	assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
	await gateway.close();
	assert.deepEqual(reached, ['limited', 'free']);
});

test('nothing is sent for a caller who disconnects while a permit is awaited', async () => {
	const gateway = await new TestGateway().start();
	const questions = new EventTarget();
	gateway.context.limits = new EndpointLimits({
		...gateway.context,
		permits: {
			async takePermit() {
				questions.dispatchEvent(new Event('asked'));
				await once(questions, 'granted');
				return 'granted';
			},
		},
	});
	let arrivals = 0;
	const endpoint = await gateway.addEndpoint(() => {
		arrivals++;
	});
	gateway.context.limits.note(endpoint, {limit: '1', isServed: true, sentAt: 0});
	const caller = await openSocket(gateway.address);
	const asked = once(questions, 'asked');
	caller.write(request);
	await asked;
	caller.destroy();
	await delay(50);
	questions.dispatchEvent(new Event('granted'));
	while (!gateway.lines.some(({kind}) => kind === 'request-ended')) {
		await delay(10);
	}

	await gateway.close();
	assert.equal(gateway.lines.find(({kind}) => kind === 'request-ended')?.outcome, 'client-left');
	assert.equal(arrivals, 0);
});

/** Limits of an endpoint that has named 2 a second, at an instance whose coordinator answers as given. */
function limitsWith(takePermit: (query: PermitQuery, now: number) => PermitAnswer | undefined): {limits: EndpointLimits; advance: (milliseconds: number) => void; asked: () => number} {
	let now = 0;
	let asked = 0;
	const limits = new EndpointLimits({
		clock: {
			moment: () => ({steady: now, wall: now}),
			async sleep() {
				// Nothing waits in these tests.
			},
		},
		log: {
			record() {
				// The lines are tested above.
			},
		},
		metrics: new GatewayMetrics(),
		permits: {
			async takePermit(query) {
				asked++;
				return takePermit(query, now);
			},
		},
	});
	limits.note(testEndpoint(), {limit: '2', isServed: true, sentAt: now});
	return {
		limits,
		advance(milliseconds) {
			now += milliseconds;
		},
		asked: () => asked,
	};
}

test('an instance that reaches no coordinator sends nothing to an endpoint with a limit', async () => {
	const {limits, advance} = limitsWith(() => undefined);
	for (let step = 0; step < 200; step++) {
		assert.equal(await limits.maySend(testEndpoint()), false);
		advance(100);
	}
});

test('a coordinator that does not answer is asked once in a while, not for each endpoint', async () => {
	const {limits, advance, asked} = limitsWith(() => undefined);
	const endpoints = Array.from({length: 6}, (_, number) => testEndpoint({name: `desk-${number + 1}`}));
	for (const endpoint of endpoints) {
		limits.note(endpoint, {limit: '2', isServed: true, sentAt: 0});
	}

	for (const endpoint of endpoints) {
		assert.equal(await limits.maySend(endpoint), false);
	}

	assert.equal(asked(), 1);
	advance(1000);
	await limits.maySend(testEndpoint());
	assert.equal(asked(), 2);
});

test('a refused permit is not asked for again at once', async () => {
	const {limits, advance, asked} = limitsWith(() => 'denied');
	for (let step = 0; step < 100; step++) {
		assert.equal(await limits.maySend(testEndpoint()), false);
		advance(10);
	}

	assert.ok(asked() <= 10, `${asked()} questions in 1 s`);
});

test('a limit holds for its incarnation only: another endpoint at the address is free', async () => {
	const {limits} = limitsWith(() => 'denied');
	assert.equal(await limits.maySend(testEndpoint({startedAt: 2})), true);
});

test('a limit whose end one instance has seen ends at the others with their next request', async () => {
	const grants = new PermitGrants();
	const answer = (query: PermitQuery, now: number): PermitAnswer => grants.answer(query, now);
	const [first, second] = [limitsWith(answer), limitsWith(answer)];
	first.advance(10);
	second.advance(10);
	first.limits.note(testEndpoint(), {limit: undefined, isServed: true, sentAt: 10});
	for (let step = 0; step < 10; step++) {
		assert.equal(await second.limits.maySend(testEndpoint()), true);
	}

	second.advance(10);
	second.limits.note(testEndpoint(), {limit: '2', isServed: true, sentAt: 20});
	assert.equal(await second.limits.maySend(testEndpoint()), false, 'a limit that is named again holds again');
});
