import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runStreamVersions, violationsOf} from '../check/stream-versions-over-processes.js';

test('over real processes: streams go on only at the software version that began them', async () => {
	const report = await runStreamVersions({
		seed: 1,
		network: 91,
		milliseconds: 12_000,
		conditions: {
			spread: 'halves', disturbance: 'instances-killed', breakPercent: 50, streamsPerSecond: 24, returnsTo: 'anywhere',
		},
	});
	assert.deepEqual(violationsOf(report), [], JSON.stringify(report));
});
