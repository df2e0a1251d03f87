import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LimitedEndpointsOptions, runLimitedEndpoints} from '../check/limited-endpoints-over-processes.js';

async function assertLimitsHold(options: Omit<LimitedEndpointsOptions, 'milliseconds'>): Promise<void> {
	const {limited, forgotten, grantors} = await runLimitedEndpoints({...options, milliseconds: 18_000});
	assert.ok(limited.length > 0, 'an endpoint has named a limit');
	assert.deepEqual(limited.filter(({most, allowed}) => most > allowed), []);
	assert.deepEqual(Object.values(grantors).filter(({length}) => length > 1), [], 'each term has one grantor');
	assert.deepEqual(forgotten, [], 'endpoints whose limit has ended get requests again');
}

test('over real processes: an endpoint that names a limit gets no more than that from all instances together', async () => {
	await assertLimitsHold({seed: 1, network: 36});
});

test('over real processes: a rejection that does not name the limit ends it at no instance', async () => {
	await assertLimitsHold({
		seed: 1,
		network: 37,
		conditions: {
			doRejectionsName: false, rejectionPercent: 10, answerMilliseconds: 800, limitedEndpoints: 3, limitTenths: [12, 12], coordinatorFreezes: undefined,
		},
	});
});

test('over real processes: a limit holds while some instances reach the coordinator and others do not', async () => {
	await assertLimitsHold({
		seed: 1,
		network: 38,
		conditions: {
			doRejectionsName: true,
			rejectionPercent: 5,
			answerMilliseconds: 60,
			limitedEndpoints: 6,
			limitTenths: [50, 50],
			coordinatorFreezes: {everyMilliseconds: 600, forMilliseconds: 300},
			requestsPerSecond: 80,
		},
	});
});
