import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	burstBytes, bytesPerSecond, LineBudget, type LineRank,
} from './line-budget.js';

/** Writes a line if there is room for it; tells whether it was written. */
function write(budget: LineBudget, line: {rank: LineRank; bytes: number}, now: number): boolean {
	const isWritten = budget.hasRoomFor(line.rank, now);
	if (isWritten) {
		budget.spend(line.bytes);
	}

	return isWritten;
}

test('half a minute of ordinary ends leaves the room that a second of failures needs', () => {
	// A busy instance ends more requests in order than the budget holds lines for. Then an endpoint dies, and some dozens
	// of requests fail at once. Their lines are the ones that are looked for afterwards.
	const budget = new LineBudget();
	let ordinary = 0;
	for (let now = 0; now < 30_000; now += 10) {
		ordinary += write(budget, {rank: 'ordinary', bytes: 200}, now) ? 1 : 0;
	}

	let failures = 0;
	for (let count = 0; count < 28; count++) {
		failures += write(budget, {rank: 'failure', bytes: 400}, 30_000) ? 1 : 0;
	}

	assert.ok(ordinary < 3000);
	assert.equal(failures, 28);
});

test('a storm of refusals leaves room for failures, and failures for what becomes of the process', () => {
	const budget = new LineBudget();
	while (write(budget, {rank: 'refusal', bytes: 350}, 0)) {
		// Until the budget turns refusals away.
	}

	assert.ok(!write(budget, {rank: 'ordinary', bytes: 200}, 0));
	assert.ok(write(budget, {rank: 'failure', bytes: 400}, 0));
	while (write(budget, {rank: 'failure', bytes: 400}, 0)) {
		// Until it turns failures away.
	}

	assert.ok(write(budget, {rank: 'process', bytes: 250}, 0));
});

test('over a minute no more is written than the burst and the rate allow', () => {
	const budget = new LineBudget();
	let written = 0;
	for (let now = 0; now <= 60_000; now++) {
		written += write(budget, {rank: 'process', bytes: 300}, now) ? 300 : 0;
	}

	assert.ok(written <= burstBytes + (60 * bytesPerSecond) + 300);
	assert.ok(written > 60 * bytesPerSecond);
});

test('a line longer than the burst is written once, and paid for afterwards', () => {
	// The findings of a refused configuration may fill more than all that is allowed at once.
	const budget = new LineBudget();
	assert.ok(write(budget, {rank: 'process', bytes: 2 * burstBytes}, 0));
	assert.ok(!write(budget, {rank: 'process', bytes: 100}, 1000));
	assert.ok(write(budget, {rank: 'process', bytes: 100}, 1000 + (1000 * burstBytes / bytesPerSecond)));
});

test('a clock that is set back neither fills the budget nor stops it from filling', () => {
	const budget = new LineBudget();
	while (write(budget, {rank: 'process', bytes: 300}, 100_000)) {
		// Until it is empty.
	}

	assert.ok(!write(budget, {rank: 'process', bytes: 300}, 0));
	assert.ok(write(budget, {rank: 'process', bytes: 300}, 1000));
});
