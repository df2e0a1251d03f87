import assert from 'node:assert/strict';
import {test} from 'node:test';
import {partitionFindings} from '../check/partition-findings.js';
import {type PartitionConditions, runPartitionedInstances} from '../check/partitioned-instances-over-processes.js';

async function assertServed(network: number, conditions: Partial<PartitionConditions>): Promise<void> {
	const report = await runPartitionedInstances({
		seed: 1, network, partitionMilliseconds: 8000, conditions: {
			storeCutMilliseconds: 0, requestsPerSecond: 40, answerMilliseconds: 60, ...conditions,
		},
	});
	assert.deepEqual(partitionFindings(report), [], JSON.stringify(report));
}

test('over real processes: a data centre whose links to all endpoints hang serves its callers', async () => {
	await assertServed(48, {part: 'data-centre', state: 'hang'});
});

test('over real processes: instances whose connections to all endpoints are reset and refused serve their callers', async () => {
	await assertServed(49, {part: 'two-thirds', state: 'reset'});
});

test('over real processes: instances whose new connections to all endpoints are refused serve their callers', async () => {
	await assertServed(50, {part: 'one-each', state: 'refuse'});
});

test('over real processes: the coordinator\'s data centre serves its callers while it reaches no endpoint', async () => {
	await assertServed(51, {part: 'coordinator', state: 'hang', storeCutMilliseconds: 5000});
});
