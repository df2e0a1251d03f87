import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StandbySlots} from './standby-slots.js';

const ofSix = (...lacking: string[]) => ({connected: 6, lacking: new Set(lacking)});

test('a standby grants the parts of the instances that lack slots, once all have found it', () => {
	const slots = new StandbySlots();
	assert.equal(slots.share(1, ofSix('i1'), 0), 0);
	assert.equal(slots.share(1, ofSix('i1', 'i2', 'i3'), 1500), 0.5);
	assert.equal(slots.share(1, ofSix(), 1600), 0);
	assert.equal(slots.share(undefined, ofSix('i1'), 1700), 0, 'it does not hold the lease');
});

test('the part of an instance that has left the standby stays its own', () => {
	const slots = new StandbySlots();
	slots.share(1, ofSix(), 0);
	assert.equal(slots.share(1, {connected: 3, lacking: new Set(['i1', 'i2', 'i3'])}, 2000), 0.5);
});

test('a standby says that it can grant slots before any instance lacks them', () => {
	// Guards against instances that send their own parts until they have reported to the standby and received its next answer.
	const slots = new StandbySlots();
	assert.equal(slots.canGrant(1, ofSix(), 0), false);
	assert.equal(slots.canGrant(1, ofSix(), 1500), true);
});
