import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {openSocket, rawRequest, readToEnd} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const routeMilliseconds = 300;
/** Far behind the route's time-out, far before the test's own. */
const patienceMilliseconds = 3000;

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '60000', connection: 'close',
	}, body: 'x',
});

/** Sends a request to an endpoint that sends half of a failure's page and then nothing. */
async function openStalled(context: TestContext, timeoutMilliseconds: number): Promise<{gateway: TestGateway; caller: Socket; endpointClosed: Promise<boolean>}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'idempotent', mostAttempts: 1, timeoutMilliseconds})]})).start();
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

	const patience = AbortSignal.timeout(patienceMilliseconds);
	return once(socket, 'close', {signal: patience}).then(() => true, () => false);
}

test('a failure whose page stalls ends with the route\'s time', async context => {
	// The caller has half of a page and waits without end, and the endpoint's connection is never given back.
	// 1. The only endpoint fails and its page is passed on. 2. The page stops coming. 3. The route's time passes, but the try
	// had ended with its head, so there was nothing to cancel.
	const {gateway, caller, endpointClosed} = await openStalled(context, routeMilliseconds);
	const callerClosed = isClosedInTime(caller);
	const answer = readToEnd(caller);
	const isCallerClosed = await callerClosed;
	caller.destroy();
	assert.match(await answer, /half$/v);
	assert.deepEqual({isCallerClosed, isEndpointClosed: await endpointClosed}, {isCallerClosed: true, isEndpointClosed: true});
	assert.equal(gateway.lines.find(({kind}) => kind === 'request-ended')?.outcome, 'timeout');
});

test('the endpoint of a failure whose caller left is let go', async context => {
	// The endpoint's connection stays taken for good. 1. Half of a failure's page is passed on. 2. The caller leaves. 3. The
	// try had ended with its head, so nobody cancels it.
	const {caller, endpointClosed} = await openStalled(context, 60_000);
	await once(caller, 'data');
	caller.destroy();
	assert.equal(await endpointClosed, true);
});
