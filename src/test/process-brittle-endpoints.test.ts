import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type BrittleEndpointsOptions, runBrittleEndpoints} from '../check/brittle-endpoints-over-processes.js';

/** Where the endpoints have room for all requests, at most one in ten may find none. */
const minServedShare = 0.9;

async function assertUp(options: Omit<BrittleEndpointsOptions, 'seed' | 'milliseconds'>): Promise<{sent: number; served: number; freeSent: number; freeServed: number}> {
	const report = await runBrittleEndpoints({seed: 1, milliseconds: 9000, ...options});
	assert.ok(report.falls <= report.allowedFalls, JSON.stringify(report));
	return report;
}

test('over real processes: brittle endpoints with room for all requests serve them and do not fall over', async () => {
	const {sent, served, freeSent, freeServed} = await assertUp({network: 60, requestsPerSecond: 115});
	assert.ok(served >= minServedShare * sent, `${served} of ${sent}`);
	assert.ok(freeServed >= minServedShare * freeSent, `${freeServed} of ${freeSent} afterwards`);
});

test('over real processes: brittle endpoints that are offered more than they can run do not fall over', async () => {
	await assertUp({network: 61, requestsPerSecond: 250, slots: 6});
});

test('over real processes: brittle endpoints do not fall over while the coordinator is replaced', async () => {
	await assertUp({network: 62, requestsPerSecond: 115, isCoordinatorKilled: true});
});
