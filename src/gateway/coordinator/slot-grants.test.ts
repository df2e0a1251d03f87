import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SlotGrants} from './slot-grants.js';

test('a slot that was granted counts until its request appears in a report', () => {
	const grants = new SlotGrants();
	const query = {
		endpoint: 'desk-1', slots: 2, instance: 'i1', number: 7,
	};
	assert.equal(grants.take(query, 1, 0), true);
	assert.equal(grants.take({...query, instance: 'i2', number: 1}, 1, 1), false, 'one in flight, one granted');
	grants.noteReport('i1', {answered: 6, countsHeldSlots: true}, 100);
	assert.equal(grants.take({...query, instance: 'i2', number: 2}, 1, 100), false, 'the report was sent before the grant arrived');
	grants.noteReport('i1', {answered: 7, countsHeldSlots: true}, 100);
	assert.equal(grants.take({...query, instance: 'i2', number: 3}, 2, 100), false, 'the request is in flight now');
	assert.equal(grants.take({...query, instance: 'i2', number: 4}, 1, 100), true, 'and has ended');
});

test('a grant counts no longer than until its instance reports that it holds the slot', () => {
	// Guards against counting requests that are already in flight twice, which keeps slots empty.
	const grants = new SlotGrants();
	const query = {
		endpoint: 'desk-1', slots: 2, instance: 'i1', number: 7,
	};
	assert.equal(grants.take(query, 0, 0), true);
	grants.noteReport('i1', {answered: 7, countsHeldSlots: true}, 2);
	assert.equal(grants.take({...query, number: 8}, 1, 2), true);
	assert.equal(grants.take({...query, number: 9}, 1, 2), false);
	grants.noteReport('i1', {answered: 8, countsHeldSlots: false}, 3);
	assert.equal(grants.take({...query, number: 9}, 1, 3), false, 'an earlier release does not report it before its request is in flight');
});

test('a grant of an instance that reports no more does not hold its slot for good', () => {
	const grants = new SlotGrants();
	const query = {
		endpoint: 'desk-1', slots: 1, instance: 'i1', number: 1,
	};
	assert.equal(grants.take(query, 0, 0), true);
	assert.equal(grants.take({...query, instance: 'i2'}, 0, 900), false);
	assert.equal(grants.take({...query, instance: 'i2'}, 0, 1100), true);
});
