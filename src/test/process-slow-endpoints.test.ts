import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSlowEndpoints, type SlowEndpointsOptions} from '../check/slow-endpoints-over-processes.js';

const minServedShare = 0.98;

async function assertServed(options: Pick<SlowEndpointsOptions, 'network' | 'firstByteMilliseconds' | 'silenceMilliseconds'>): Promise<void> {
	const report = await runSlowEndpoints({seed: 1, milliseconds: 10_000, ...options});
	assert.ok(report.served >= minServedShare * report.sent, JSON.stringify(report));
}

test('over real processes: endpoints whose answers take a second are not taken for dead', async () => {
	await assertServed({network: 68, firstByteMilliseconds: 1000, silenceMilliseconds: 0});
});

test('over real processes: endpoints whose answers take nearly two seconds are not taken for dead', async () => {
	await assertServed({network: 69, firstByteMilliseconds: 1900, silenceMilliseconds: 0});
});

test('over real processes: endpoints that fall silent for a second one after the other lose no request', async () => {
	await assertServed({network: 70, firstByteMilliseconds: 60, silenceMilliseconds: 1000});
});
