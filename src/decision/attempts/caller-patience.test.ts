import assert from 'node:assert/strict';
import {test} from 'node:test';
import {callerPatienceMilliseconds} from './caller-patience.js';

test('callers wait for two seconds, four objectives or eight event gaps, whichever is longest', () => {
	assert.equal(callerPatienceMilliseconds({objectiveMilliseconds: 300, maxEventGapMilliseconds: 0}), 2000);
	assert.equal(callerPatienceMilliseconds({objectiveMilliseconds: 1000, maxEventGapMilliseconds: 400}), 4000);
	assert.equal(callerPatienceMilliseconds({objectiveMilliseconds: 600, maxEventGapMilliseconds: 800}), 6400);
});
