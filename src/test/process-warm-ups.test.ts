import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runWarmUps} from '../check/warm-ups-over-processes.js';

test('over real processes: endpoints that warm up get no more than they take, and evacuated data centres no new requests', async () => {
	const report = await runWarmUps({
		seed: 1, network: 112, requestsPerSecond: 60, milliseconds: 15_000,
	});
	assert.equal(report.overBound, 0, JSON.stringify(report));
	assert.equal(report.reachedEvacuated, 0, JSON.stringify(report));
	assert.ok(report.warmUps > 0 && report.evacuations > 0, JSON.stringify(report));
	assert.ok(report.served >= 0.9 * report.sent, JSON.stringify(report));
});
