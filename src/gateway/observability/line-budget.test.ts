import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	burstBytes, bytesPerSecond, LineBudget, failureReserveBytes, type LineRank,
} from './line-budget.js';

/** Writes a line if there is room for it; returns whether it was written. */
function write(budget: LineBudget, line: {rank: LineRank; bytes: number}, now: number): boolean {
	const isWritten = budget.hasRoomFor(line.rank, now);
	if (isWritten) {
		budget.spend(line.rank, line.bytes);
	}

	return isWritten;
}

test('half a minute of ordinary requests leaves the room that a second of failures needs', () => {
	// A busy instance completes more requests than the budget has lines for. Then an endpoint fails, and some dozens of
	// requests fail at once. Theirs are the lines that an engineer needs afterwards.
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

test('many refusals leave room for failures, and many failures leave room for lines about the process', () => {
	const budget = new LineBudget();
	while (write(budget, {rank: 'refusal', bytes: 350}, 0)) {
		// Until the budget rejects refusals.
	}

	assert.ok(!write(budget, {rank: 'ordinary', bytes: 200}, 0));
	assert.ok(write(budget, {rank: 'failure', bytes: 400}, 0));
	while (write(budget, {rank: 'failure', bytes: 400}, 0)) {
		// Until it rejects failures.
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

test('a line longer than the burst is written once, and its bytes are deducted afterwards', () => {
	// The findings of a refused configuration may be longer than the whole burst.
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

test('many late answers leave room for refusals and failures', () => {
	const budget = new LineBudget();
	while (write(budget, {rank: 'whole', bytes: 600}, 0)) {
		// Until the budget rejects lines of the rank `whole`.
	}

	assert.ok(!write(budget, {rank: 'ordinary', bytes: 200}, 0));
	assert.ok(write(budget, {rank: 'refusal', bytes: 350}, 0));
});

test('after two endpoints have failed, refusals have lines again within seconds', () => {
	// Two endpoints fail and 80 requests are aborted at once. Later requests are refused: an engineer who looks for one of
	// these must find its line, although the lines of the failures used up many bytes.
	const budget = new LineBudget();
	let failures = 0;
	for (let count = 0; count < 80; count++) {
		failures += write(budget, {rank: 'failure', bytes: 860}, 0) ? 1 : 0;
	}

	assert.equal(failures, 80);
	assert.ok(write(budget, {rank: 'refusal', bytes: 350}, 2000));
	assert.ok(write(budget, {rank: 'ordinary', bytes: 200}, 6000));
});

test('a busy process can log the next failure of two endpoints some minutes later, and writes no more than its rate', () => {
	const budget = new LineBudget();
	while (write(budget, {rank: 'failure', bytes: 860}, 0)) {
		// Until it rejects failures.
	}

	let ordinary = 0;
	const end = 240_000;
	for (let now = 0; now < end; now += 10) {
		ordinary += write(budget, {rank: 'ordinary', bytes: 200}, now) ? 200 : 0;
	}

	let failures = 0;
	while (write(budget, {rank: 'failure', bytes: 860}, end)) {
		failures += 860;
	}

	assert.ok(failures >= 80 * 860, `${failures}`);
	assert.ok(ordinary + failures <= burstBytes + failureReserveBytes + (end / 1000 * bytesPerSecond));
});
