import assert from 'node:assert/strict';
import {test} from 'node:test';
import {longestPhase} from './late-phase.js';

const times = {
	arrivedAt: 1000, sentAt: 1300, respondedAt: 1400, queriedMilliseconds: 240, sends: 1,
};

test('a late answer is counted under the phase that took longest', () => {
	assert.equal(longestPhase(times), 'query');
	assert.equal(longestPhase({...times, queriedMilliseconds: 20}), 'instance');
	assert.equal(longestPhase({...times, queriedMilliseconds: 20, sends: 2}), 'attempts');
	assert.equal(longestPhase({...times, respondedAt: 1600}), 'endpoint');
});
