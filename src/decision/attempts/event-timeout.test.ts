import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventTimeoutMilliseconds} from './event-timeout.js';

test('callers wait for two seconds, four objectives or eight event gaps, whichever is longest', () => {
	assert.equal(eventTimeoutMilliseconds({objectiveMilliseconds: 300, maxEventGapMilliseconds: 0}), 2000);
	assert.equal(eventTimeoutMilliseconds({objectiveMilliseconds: 1000, maxEventGapMilliseconds: 400}), 4000);
	assert.equal(eventTimeoutMilliseconds({objectiveMilliseconds: 600, maxEventGapMilliseconds: 800}), 6400);
});
