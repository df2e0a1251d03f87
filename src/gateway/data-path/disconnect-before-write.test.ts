import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {rawRequest} from '../../test/raw-http.js';
import {blockEventLoop, connectCallers} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const stallMilliseconds = 600;

for (const kind of ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'] satisfies RouteKind[]) {
	test(`a request whose caller disconnected while a connection was opened for it is not written (${kind})`, async () => {
		// Guards against work for callers that disconnected during a pause: the new connection is ready before the close is read.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
		const seen: string[] = [];
		await gateway.addEndpoint((incoming, response) => {
			seen.push(String(incoming.headers[names.attemptId]));
			answerSealed(incoming, response);
		}, {slots: 4});
		const calls = ['leaves', 'stays'].map(id => ({
			bytes: rawRequest({
				method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: id, [names.deadline]: '10000'}, body: 'x',
			}),
			leaves: id === 'leaves',
		}));
		const callers = await connectCallers(gateway.address, calls, {leavesWhenTold: true});
		const {exchanges} = gateway.context;
		gateway.context.exchanges = {
			open(call) {
				const exchange = exchanges.open(call);
				if (call.attemptId === 'leaves') {
					callers.leave();
					// Runs after Node has begun to connect.
					process.nextTick(blockEventLoop, stallMilliseconds);
				}

				return exchange;
			},
		};
		callers.send();
		await waitUntil(() => gateway.lines.filter(({kind: line}) => line === 'request-served' || line === 'request-ended').length === calls.length);
		await callers.stop();
		await gateway.close();
		assert.deepEqual(seen, ['stays']);
		assert.ok(gateway.lines.some(({id, outcome}) => id === 'leaves' && outcome === 'client-left'));
	});
}
