import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {blockEventLoop, connectCallers} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const stallMilliseconds = 600;

const kinds: readonly RouteKind[] = ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'];

function requestBytes(id: string): string {
	return rawRequest({
		method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: id, [names.deadline]: '10000'}, body: 'x',
	});
}

/** A gateway with one endpoint, and two callers: one that leaves when it is told to, and one that stays. */
async function startCallers(kind: RouteKind) {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
	const seen: string[] = [];
	await gateway.addEndpoint((incoming, response) => {
		seen.push(String(incoming.headers[names.attemptId]));
		answerSealed(incoming, response);
	}, {slots: 4});
	const calls = ['leaves', 'stays'].map(id => ({bytes: requestBytes(id), leaves: id === 'leaves'}));
	const callers = await connectCallers(gateway.address, calls, {leavesWhenTold: true});
	const endedIds = (): unknown[] => gateway.lines.filter(({kind: line}) => line === 'request-served' || line === 'request-ended').map(({id}) => id);
	return {
		gateway, callers, seen, hasEnded: (id: string) => endedIds().includes(id),
	};
}

for (const kind of kinds) {
	test(`a request whose caller disconnected while a connection was opened for it is not written (${kind})`, async () => {
		// Guards against work for callers that disconnected during a pause: the new connection is ready before the close is read.
		const {gateway, callers, seen, hasEnded} = await startCallers(kind);
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
		await waitUntil(() => hasEnded('leaves') && hasEnded('stays'));
		await callers.stop();
		await gateway.close();
		assert.deepEqual(seen, ['stays']);
		assert.ok(gateway.lines.some(({id, outcome}) => id === 'leaves' && outcome === 'client-left'));
	});

	test(`a request whose caller disconnected while a permit was asked for it is not written (${kind})`, async () => {
		// Guards against work for callers that disconnected during a pause: the permit is read before the close.
		const {gateway, callers, seen, hasEnded} = await startCallers(kind);
		// Leaves a connection to the endpoint that the next request uses at once.
		await exchangeRaw(gateway.address, requestBytes('first').replace('host:', 'connection: close\r\nhost:'));
		let asked = 0;
		gateway.context.limits = {
			note() {
				// The endpoint names no limit here.
			},
			async maySend() {
				asked++;
				if (asked === 1) {
					callers.leave();
					blockEventLoop(stallMilliseconds);
				}

				return true;
			},
		};
		callers.send();
		await waitUntil(() => hasEnded('leaves') && hasEnded('stays'));
		await callers.stop();
		await gateway.close();
		assert.deepEqual(seen, ['first', 'stays']);
	});
}
