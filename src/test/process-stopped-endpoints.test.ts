import assert from 'node:assert/strict';
import {test} from 'node:test';
import {violationsOf} from '../check/silent-work.js';
import {runStoppedEndpoints, type StoppedEndpointsOptions} from '../check/stopped-endpoints-over-processes.js';

/** The endpoints are stopped for two fifths of the time, in which requests may be refused as not run. */
const minWholeShare = 0.5;

async function assertNoneEndsEarly(options: Pick<StoppedEndpointsOptions, 'network' | 'route' | 'queue'>): Promise<void> {
	const report = await runStoppedEndpoints({
		seed: 1,
		milliseconds: 5000,
		silenceMilliseconds: [1900, 1900],
		requestsPerSecond: 25,
		stoppedShare: 1,
		pieces: 1,
		connectionLimit: Number.POSITIVE_INFINITY,
		expires: false,
		keepsConnections: false,
		...options,
	});
	assert.deepEqual(violationsOf(report), {}, JSON.stringify(report));
	assert.ok(report.whole >= minWholeShare * report.sent, JSON.stringify(report));
}

test('over real processes: sound engines that are stopped while they take no new connection end no prompt that may be resumed', async () => {
	await assertNoneEndsEarly({network: 131, route: 'prompt-resumable', queue: 'full'});
});

test('over real processes: sound engines that are stopped while new connections are refused end no prompt that may be resumed', async () => {
	await assertNoneEndsEarly({network: 132, route: 'prompt-resumable', queue: 'refusing'});
});

test('over real processes: sound endpoints that are stopped while they take no new connection fail no idempotent request', async () => {
	await assertNoneEndsEarly({network: 133, route: 'idempotent', queue: 'full'});
});

test('over real processes: sound endpoints that are stopped while new connections are refused fail no idempotent request', async () => {
	await assertNoneEndsEarly({network: 134, route: 'idempotent', queue: 'refusing'});
});
