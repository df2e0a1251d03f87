import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {blockEventLoop, connectCallers} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const connections = 30;
/** Short enough to count as no lag. */
const turnMilliseconds = 10;

function requestBytes(id: string): string {
	return rawRequest({
		method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: id, [names.deadline]: '10000'}, body: 'x',
	});
}

for (const kind of ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'] satisfies RouteKind[]) {
	test(`a request whose caller disconnected before its connection was accepted is not forwarded (${kind})`, async () => {
		// Guards against work for callers that left while the process was slow: it accepts one connection in each turn of its loop.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
		const seen: string[] = [];
		await gateway.addEndpoint((incoming, response) => {
			seen.push(String(incoming.headers[names.attemptId]));
			answerSealed(incoming, response);
		}, {slots: connections});
		// Leaves a connection to the endpoint that the next request uses at once.
		await exchangeRaw(gateway.address, requestBytes('first').replace('host:', 'connection: close\r\nhost:'));
		let isSlow = true;
		const slowDown = (): void => {
			blockEventLoop(turnMilliseconds);
			if (isSlow) {
				setImmediate(slowDown);
			}
		};

		setImmediate(slowDown);
		const calls = Array.from({length: connections}, (_, index) => {
			const leaves = index !== connections - 1;
			return {bytes: requestBytes(leaves ? `leaves-${index}` : 'stays'), leaves};
		});
		const callers = await connectCallers(gateway.address, calls, {sendsWhenConnected: true});
		await waitUntil(() => seen.includes('stays'));
		isSlow = false;
		await callers.stop();
		await gateway.close();
		assert.deepEqual(seen, ['first', 'stays']);
	});
}
