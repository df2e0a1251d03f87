import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreBackoff} from './store-backoff.js';

test('a store that timed out once is queried again after a short pause', () => {
	// A busy store times out for one prompt. With a pause of two seconds, the prompts in that time would be prefilled again
	// although the store has their blocks.
	const backoff = new StoreBackoff();
	backoff.noteTimeout('store-1', 1000);
	assert.equal(backoff.isBackingOff('store-1', 1099), true);
	assert.equal(backoff.isBackingOff('store-1', 1100), false);
	assert.equal(backoff.isBackingOff('store-2', 1000), false);
});

test('the pause of a store that keeps timing out doubles up to two seconds', () => {
	const backoff = new StoreBackoff();
	const pauses: number[] = [];
	let now = 0;
	for (let count = 0; count < 7; count++) {
		backoff.noteTimeout('store-1', now);
		const from = now;
		while (backoff.isBackingOff('store-1', now)) {
			now += 50;
		}

		pauses.push(now - from);
	}

	assert.deepEqual(pauses, [100, 200, 400, 800, 1600, 2000, 2000]);
});

test('concurrent timeouts count as one, and an answer ends the backoff', () => {
	const backoff = new StoreBackoff();
	backoff.noteTimeout('store-1', 0);
	backoff.noteTimeout('store-1', 1);
	assert.equal(backoff.isBackingOff('store-1', 100), false);
	backoff.noteTimeout('store-1', 100);
	assert.equal(backoff.isBackingOff('store-1', 299), true);
	backoff.noteAnswer('store-1');
	assert.equal(backoff.isBackingOff('store-1', 150), false);
	backoff.noteTimeout('store-1', 300);
	assert.equal(backoff.isBackingOff('store-1', 400), false);
});

test('a store that stalls during a transfer is skipped for two seconds', () => {
	const backoff = new StoreBackoff();
	backoff.noteStall('store-1', 0);
	assert.equal(backoff.isBackingOff('store-1', 1999), true);
	assert.equal(backoff.isBackingOff('store-1', 2000), false);
});
