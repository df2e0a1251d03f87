import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSilentEndpoints, type SilentEndpointsOptions} from '../check/silent-endpoints-over-processes.js';
import {violationsOf} from '../check/silent-work.js';

/** The others may be refused as not run. */
const minWholeShare = 0.95;

async function assertNoneLost(options: Pick<SilentEndpointsOptions, 'network' | 'route' | 'silentAtATime' | 'requestsPerSecond'>): Promise<void> {
	const report = await runSilentEndpoints({
		seed: 1, milliseconds: 10_000, silenceMilliseconds: [1600, 1600], ...options,
	});
	assert.deepEqual(violationsOf(report), {}, JSON.stringify(report));
	assert.ok(report.whole >= minWholeShare * report.sent, JSON.stringify(report));
}

test('over real processes: a sound engine that falls silent and goes on loses no prompt that may be resumed', async () => {
	await assertNoneLost({
		network: 101, route: 'prompt-resumable', silentAtATime: 1, requestsPerSecond: 17,
	});
});

test('over real processes: a sound engine that falls silent loses no prompt that has no second attempt', async () => {
	await assertNoneLost({
		network: 102, route: 'prompt-resumable-one-attempt', silentAtATime: 1, requestsPerSecond: 17,
	});
});
