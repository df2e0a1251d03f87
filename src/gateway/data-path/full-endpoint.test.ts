import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

test('an endpoint that resets a new connection, as a full one does, is not taken for unreachable', async context => {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'non-idempotent'})]})).start();
	context.after(async () => gateway.close());
	const server = createServer(socket => {
		socket.resetAndDestroy();
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	gateway.context.endpoints.put(testEndpoint({name: 'full', address, slots: 100}));
	await gateway.addEndpoint(answerSealed, {slots: 10});
	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '1000', connection: 'close',
		}, body: 'x',
	}));
	assert.equal(statusOf(answer), 200);
	assert.deepEqual(gateway.lines.filter(({kind}) => kind === 'try-failed').map(({endpoint, outcome}) => [endpoint, outcome]), [['full', 'not-sent']]);
	assert.deepEqual(gateway.context.placement.unreachable().map(({name}) => name), []);
});
