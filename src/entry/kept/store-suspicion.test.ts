import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreSuspicion} from './store-suspicion.js';

test('a store that was late once is asked again a moment later', () => {
	// A busy store is late for one prompt. The prompts of the next two seconds would be computed again for nothing.
	const suspicion = new StoreSuspicion();
	suspicion.late('store-1', 1000);
	assert.equal(suspicion.isSuspect('store-1', 1099), true);
	assert.equal(suspicion.isSuspect('store-1', 1100), false);
	assert.equal(suspicion.isSuspect('store-2', 1000), false);
});

test('a store that stays late is asked less and less often, at last each two seconds', () => {
	const suspicion = new StoreSuspicion();
	const rests: number[] = [];
	let now = 0;
	for (let count = 0; count < 7; count++) {
		suspicion.late('store-1', now);
		const from = now;
		while (suspicion.isSuspect('store-1', now)) {
			now += 50;
		}

		rests.push(now - from);
	}

	assert.deepEqual(rests, [100, 200, 400, 800, 1600, 2000, 2000]);
});

test('questions that were late together count as one, and an answer ends the suspicion', () => {
	const suspicion = new StoreSuspicion();
	suspicion.late('store-1', 0);
	suspicion.late('store-1', 1);
	assert.equal(suspicion.isSuspect('store-1', 100), false);
	suspicion.late('store-1', 100);
	assert.equal(suspicion.isSuspect('store-1', 299), true);
	suspicion.answered('store-1');
	assert.equal(suspicion.isSuspect('store-1', 150), false);
	suspicion.late('store-1', 300);
	assert.equal(suspicion.isSuspect('store-1', 400), false);
});

test('a store that stalls in the middle of a transfer is left alone for two seconds', () => {
	const suspicion = new StoreSuspicion();
	suspicion.stalled('store-1', 0);
	assert.equal(suspicion.isSuspect('store-1', 1999), true);
	assert.equal(suspicion.isSuspect('store-1', 2000), false);
});
