import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {openSocket, rawRequest, readToEnd} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const routeMilliseconds = 300;
/** Far longer than the timeout of the route, far shorter than that of the test. */
const timeoutMilliseconds = 3000;

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '60000', connection: 'close',
	}, body: 'x',
});

/** Sends a request to an endpoint that answers with half of a failure's body and then nothing. */
async function openStalled(context: TestContext, timeoutMilliseconds: number): Promise<{gateway: TestGateway; caller: Socket; endpointClosed: Promise<boolean>}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'idempotent', maxAttempts: 1, timeoutMilliseconds})]})).start();
	context.after(async () => gateway.close());
	const caller = await openSocket(gateway.address);
	const endpointSocket = new Promise<Socket>(resolve => {
		void gateway.addEndpoint((_request, response) => {
			const socket = response.socket!;
			socket.write(`HTTP/1.1 500 Broken\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\ncontent-length: 100\r\n\r\nhalf`);
			resolve(socket);
		}).then(() => caller.write(post));
	});
	return {gateway, caller, endpointClosed: endpointSocket.then(async socket => isClosedInTime(socket))};
}

async function isClosedInTime(socket: Socket): Promise<boolean> {
	if (socket.closed) {
		return true;
	}

	const timeout = AbortSignal.timeout(timeoutMilliseconds);
	return once(socket, 'close', {signal: timeout}).then(() => true, () => false);
}

test('a failure whose body stalls ends at the timeout of the route', async context => {
	// Guards against a caller that waits forever for the rest of a body, and against a leaked connection to the endpoint:
	// 1. The only endpoint fails and the body of its failure is relayed. 2. The body stalls. 3. The timeout of the route passes,
	// but the attempt ended with its head, so there is nothing left to cancel.
	const {gateway, caller, endpointClosed} = await openStalled(context, routeMilliseconds);
	const callerClosed = isClosedInTime(caller);
	const answer = readToEnd(caller);
	const isCallerClosed = await callerClosed;
	caller.destroy();
	assert.match(await answer, /\r\n\r\n4\r\nhalf\r\n$/v);
	assert.deepEqual({isCallerClosed, isEndpointClosed: await endpointClosed}, {isCallerClosed: true, isEndpointClosed: true});
	assert.equal(gateway.lines.find(({kind}) => kind === 'request-ended')?.outcome, 'timeout');
});

test('the endpoint\'s connection is closed if the caller disconnects within a failure', async context => {
	// Guards against a leaked connection to the endpoint: 1. Half of a failure's body is relayed. 2. The caller disconnects.
	// 3. The attempt ended with its head, so nothing cancels it.
	const {caller, endpointClosed} = await openStalled(context, 60_000);
	await once(caller, 'data');
	caller.destroy();
	assert.equal(await endpointClosed, true);
});
