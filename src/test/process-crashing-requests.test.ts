import assert from 'node:assert/strict';
import {test} from 'node:test';
import {allowedLateArrivals, runCrashingRequests} from '../check/crashing-requests-over-processes.js';

test('over real processes: a request that crashes its endpoints does not reach one after another at instance after instance', async () => {
	const {crashes, lateArrivals, wronglyBlocked} = await runCrashingRequests({seed: 1, network: 31, milliseconds: 15_000});
	assert.ok(Object.values(crashes).some(count => count >= 3), 'the request has crashed three endpoints');
	assert.deepEqual(Object.entries(lateArrivals).filter(([, late]) => late > allowedLateArrivals), []);
	assert.deepEqual(wronglyBlocked, []);
});
