import assert from 'node:assert/strict';
import {test} from 'node:test';
import {noLoad} from '../../decision/placement/endpoint-load.js';
import {HeldSlots} from './held-slots.js';

test('a granted slot counts as a request until its request is sent', () => {
	// Guards against a slot that is granted twice because its instance was paused before it sent the request.
	const held = new HeldSlots();
	held.hold('desk-1', 0);
	held.hold('desk-1', 0);
	held.hold('desk-2', 0);
	held.use('desk-1');
	const loads = held.addTo(new Map([['desk-1', {...noLoad, requests: 3}]]), 500);
	assert.deepEqual([...loads].map(([endpoint, {requests}]) => [endpoint, requests]), [['desk-1', 4], ['desk-2', 1]]);
});

test('a slot whose request is never sent is free again', () => {
	const held = new HeldSlots();
	held.hold('desk-1', 0);
	held.use('desk-2');
	assert.equal(held.count('desk-1', 999), 1);
	assert.equal(held.count('desk-1', 1000), 0);
	assert.equal(held.addTo(new Map(), 1000).size, 0);
});
