import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runUnframedAnswers, unframedFindings} from '../check/unframed-answers-over-processes.js';

/** The others may find no retry left. */
const minResumedShare = 0.75;

test('over real processes: a broken answer with neither a length nor chunks is never marked as complete, and no whole one is lost', async () => {
	const report = await runUnframedAnswers({
		seed: 1, network: 85, milliseconds: 6000, requestsPerSecond: 60, brokenPercent: 5, disturbance: 'relays',
	});
	assert.deepEqual(unframedFindings(report), {}, JSON.stringify(report));
	assert.ok(report.resumed > 0 && report.resumed >= minResumedShare * (report.resumed + report.notResumed), JSON.stringify(report));
});
