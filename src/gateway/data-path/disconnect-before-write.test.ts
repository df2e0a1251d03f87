import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {blockEventLoop, connectCallers} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {
	openEndpointConnection, requestBytes, routeKinds, startRecordingGateway,
} from '../testing/leaving-callers.js';

const stallMilliseconds = 600;

/** A gateway with one endpoint, and two callers: one that leaves when it is told to, and one that stays. */
async function startCallers(kind: RouteKind) {
	const {gateway, seen} = await startRecordingGateway(kind);
	const calls = ['leaves', 'stays'].map(id => ({bytes: requestBytes(id), leaves: id === 'leaves'}));
	const callers = await connectCallers(gateway.address, calls, {leavesWhenTold: true});
	const endedIds = (): unknown[] => gateway.lines.filter(({kind: line}) => line === 'request-served' || line === 'request-ended').map(({id}) => id);
	return {
		gateway, callers, seen, hasEnded: (id: string) => endedIds().includes(id),
	};
}

for (const kind of routeKinds) {
	test(`a request whose caller disconnected while a connection was opened for it is not written (${kind})`, async t => {
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
		const observe = t.mock.method(gateway.context.placement, 'observe');
		callers.send();
		await waitUntil(() => hasEnded('leaves') && hasEnded('stays'));
		await callers.stop();
		await gateway.close();
		assert.deepEqual(seen, ['stays']);
		const endings = observe.mock.calls.map(({arguments: [event]}) => event.kind === 'ended' ? event.outcome : undefined).filter(Boolean);
		assert.deepEqual(new Set(endings), new Set(['cancelled', 'whole']), 'the endpoint is not blamed');
		assert.ok(gateway.lines.some(({id, outcome}) => id === 'leaves' && outcome === 'client-left'));
	});

	test(`a request whose caller disconnected while a permit was asked for it is not written (${kind})`, async () => {
		// Guards against work for callers that disconnected during a pause: the permit is read before the close.
		const {gateway, callers, seen, hasEnded} = await startCallers(kind);
		await openEndpointConnection(gateway);
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
