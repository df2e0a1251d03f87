import assert from 'node:assert/strict';
import {test} from 'node:test';
import {blockEventLoop, connectCallers} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {
	openEndpointConnection, requestBytes, routeKinds, startRecordingGateway,
} from '../testing/leaving-callers.js';

const connections = 30;
/** Short enough to count as no lag. */
const turnMilliseconds = 10;

for (const kind of routeKinds) {
	test(`a request whose caller disconnected before its connection was accepted is not forwarded (${kind})`, async () => {
		// Guards against work for callers that left while the process was slow: it accepts one connection in each turn of its loop.
		const {gateway, seen} = await startRecordingGateway(kind);
		await openEndpointConnection(gateway);
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
