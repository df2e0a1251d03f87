import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw} from '../../test/raw-http.js';
import {waitUntil} from '../../test/wait-until.js';
import {requestBytes} from '../testing/leaving-callers.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {EndpointProber} from './endpoint-prober.js';

test('an instance that reaches none of its endpoints says so in one line', async () => {
	const gateway = await new TestGateway().start();
	const stop = new AbortController();
	await gateway.addEndpoint(answerSealed);
	await gateway.addEndpoint(answerSealed);
	gateway.endEndpoint('desk-1');
	gateway.endEndpoint('desk-2');
	await exchangeRaw(gateway.address, requestBytes('first', {connection: 'close'}));
	const running = new EndpointProber(gateway.context).run(stop.signal);
	try {
		const reports = (): unknown[] => gateway.lines.filter(({kind}) => kind === 'endpoints-unreachable').map(({unreachable, listed}) => [unreachable, listed]);
		await waitUntil(() => reports().length > 0);
		assert.deepEqual(reports(), [[2, 2]]);
	} finally {
		stop.abort();
		await running;
		await gateway.close();
	}
});
