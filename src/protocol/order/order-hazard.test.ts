import assert from 'node:assert/strict';
import {test} from 'node:test';
import {maxHolderPauseMilliseconds, waitBeforeOrder} from './order-hazard.js';

test('only a harmful order to an endpoint that ignores numbers waits for the older holder\'s longest pause', () => {
	// An older holder reads the table, is suspended, and sends its order to load the old weights when it resumes. An endpoint
	// that ignores numbers obeys it, so the new holder sends its own order only after the longest pause.
	const load = {kind: 'load-version', model: 'permit-1', weightVersion: 'w2'} as const;
	assert.equal(waitBeforeOrder(load, {fencing: 'checked', numberedAt: 1000}, 1000), 0);
	assert.equal(waitBeforeOrder({kind: 'leave'}, {fencing: 'ignored', numberedAt: 1000}, 1000), 0);
	assert.equal(waitBeforeOrder(load, {fencing: 'ignored', numberedAt: 1000}, 2000), maxHolderPauseMilliseconds - 1000);
	assert.equal(waitBeforeOrder(load, {fencing: 'ignored', numberedAt: 1000}, 1000 + maxHolderPauseMilliseconds), 0);
});
