import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runBookings} from '../check/bookings-over-processes.js';

test('bookings over real processes run once under kills, pauses and lost answers', async () => {
	// Callers repeat each booking under its key until they hear its answer, or that the outcome is unknown. Meanwhile
	// entries die between claim and answer, stand still past their lease and wake up, and answers of the table and the
	// service get lost behind their effect. The service itself counts the runs.
	const report = await runBookings({bookings: 48, seed: 4});
	const {duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord} = report;
	assert.deepEqual({
		duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord,
	}, {
		duplicateRuns: 0, falseNotRun: 0, crossedAnswers: 0, answeredButNotRun: 0, withoutFinalWord: 0,
	}, JSON.stringify(report));
});
