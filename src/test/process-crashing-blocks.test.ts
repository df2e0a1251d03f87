import assert from 'node:assert/strict';
import {test} from 'node:test';
import {allowedLateArrivals} from '../check/crashing-block-judgement.js';
import {runCrashingBlocks} from '../check/crashing-blocks-over-processes.js';

/** In three data centres. */
const engineCount = 12;

test('over real processes: prompts with a block that crashes engines, no two alike, do not end one engine after another', async () => {
	const report = await runCrashingBlocks({
		seed: 1, network: 71, milliseconds: 15_000, case: 'middle',
	});
	assert.ok(report.crashes >= 5, `${report.crashes} engines have ended`);
	assert.deepEqual(report.violations, [], JSON.stringify(report));
});

for (const [moment, seed] of [['within-first-event', 1], ['after-one-event', 1], ['after-ten-events', 3]] as const) {
	test(`over real processes: prompts with a block that crashes engines ${moment.replaceAll('-', ' ')} of their answers do not end one engine after another`, async () => {
		const report = await runCrashingBlocks({
			seed, network: 71, milliseconds: 15_000, case: 'middle', moment,
		});
		assert.ok(report.crashes >= 5, `${report.crashes} engines have ended`);
		assert.deepEqual(report.violations, [], JSON.stringify(report));
	});
}

test('over real processes: prompts with a block that was answered well before it crashes engines in mid-answer do not end one engine after another', async () => {
	const report = await runCrashingBlocks({
		seed: 1, network: 71, milliseconds: 20_000, case: 'turned', moment: 'after-one-event',
	});
	assert.ok(report.crashes >= 5, `${report.crashes} engines have ended`);
	assert.deepEqual(report.violations, [], JSON.stringify(report));
});

test('over real processes: while the store is away for all, instances still learn from each other which block crashes engines', async () => {
	const {blocks, crashes, violations} = await runCrashingBlocks({
		seed: 1, network: 71, milliseconds: 15_000, case: 'store-away',
	});
	assert.ok(crashes < engineCount, `${crashes} engines have ended, all that there were`);
	const late = Object.values(blocks).map(({lateArrivals, lateArrivalsOutOfTouch}) => lateArrivals + lateArrivalsOutOfTouch);
	assert.ok(late.every(count => count <= allowedLateArrivals), `${late.join(', ')} requests with the block came late`);
	assert.deepEqual(violations, []);
});
