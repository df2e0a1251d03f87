import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	},
});

test('the log shows when an endpoint names a limit, changes it and names none any more', async () => {
	const gateway = await new TestGateway().start();
	const limits = ['1.2', '1.2', '0.5', 'many', undefined, ''];
	let number = 0;
	await gateway.addEndpoint((incoming, response) => {
		const limit = limits[number++];
		answerSealed(incoming, response, {headers: limit === undefined ? {} : {[names.endpointLimit]: limit}});
	});
	for (const _ of limits) {
		await exchangeRaw(gateway.address, request);
	}

	await gateway.close();
	assert.deepEqual(gateway.lines.filter(({kind}) => kind === 'limit-named').map(({limitPerSecond}) => limitPerSecond), [1.2, 0.5, null]);
});
