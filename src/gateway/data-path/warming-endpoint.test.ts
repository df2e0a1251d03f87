import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	},
});
const services = new Map([['desk', {name: 'desk', connectionLimit: 0, warmUp: {milliseconds: 3000, requestsPerSecond: 10}}]]);

test('an endpoint that warms up gets no more than its bound, and the others serve the rest', async context => {
	const gateway = await new TestGateway(testConfiguration({services})).start();
	context.after(async () => gateway.close());
	const arrivals = {warming: 0, warm: 0};
	const warming = await gateway.addEndpoint((incoming, response) => {
		arrivals.warming++;
		answerSealed(incoming, response);
	}, {slots: 60});
	await gateway.addEndpoint((incoming, response) => {
		arrivals.warm++;
		answerSealed(incoming, response);
	}, {slots: 4});
	gateway.context.warmUps.noteRow({...warming, warmUpMilliseconds: 3000});
	const startedAt = performance.now();
	let served = 0;
	while (performance.now() - startedAt < 950) {
		const answers = await Promise.all(Array.from({length: 4}, async () => exchangeRaw(gateway.address, request)));
		served += answers.filter(answer => statusOf(answer) === 200).length;
	}

	assert.ok(arrivals.warming > 0 && arrivals.warming <= 20, `${arrivals.warming} requests`);
	assert.ok(arrivals.warm > arrivals.warming);
	assert.equal(served, arrivals.warming + arrivals.warm);
});

test('requests for a single endpoint that warms up are refused at once as not run beyond its bound', async context => {
	const gateway = await new TestGateway(testConfiguration({services})).start();
	context.after(async () => gateway.close());
	let arrivals = 0;
	const warming = await gateway.addEndpoint((incoming, response) => {
		arrivals++;
		answerSealed(incoming, response);
	});
	gateway.context.warmUps.noteRow({...warming, warmUpMilliseconds: 3000});
	const startedAt = performance.now();
	const answers: string[] = [];
	while (performance.now() - startedAt < 950) {
		answers.push(await exchangeRaw(gateway.address, request));
	}

	const refused = answers.filter(answer => statusOf(answer) !== 200);
	assert.ok(arrivals > 0 && arrivals <= 20, `${arrivals} requests`);
	assert.ok(refused.length > 0 && refused.every(answer => answer.includes('"ran":"not-run"') && /retry-after/iv.test(answer)));
});
