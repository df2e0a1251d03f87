import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCrashingBlocks} from '../check/crashing-blocks-over-processes.js';

test('over real processes: prompts with a block that crashes engines, no two alike, do not end one engine after another', async () => {
	const report = await runCrashingBlocks({
		seed: 1, network: 71, milliseconds: 15_000, case: 'middle',
	});
	assert.ok(report.crashes >= 5, `${report.crashes} engines have ended`);
	assert.deepEqual(report.violations, [], JSON.stringify(report));
});
