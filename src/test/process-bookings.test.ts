import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runBookings} from '../check/bookings-over-processes.js';

test('bookings over real processes run once under kills, pauses and lost answers', async () => {
	// Callers retry each booking with its key until they get its answer, or "outcome unknown". Meanwhile entries crash
	// between claim and answer or pause for longer than their lease, and the table and the service apply writes whose answers
	// are lost. The service counts the runs.
	const report = await runBookings({bookings: 48, seed: 4});
	const {duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord} = report;
	assert.deepEqual({
		duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord,
	}, {
		duplicateRuns: 0, falseNotRun: 0, crossedAnswers: 0, answeredButNotRun: 0, withoutFinalWord: 0,
	}, JSON.stringify(report));
});
