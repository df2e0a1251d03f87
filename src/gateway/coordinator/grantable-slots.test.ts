import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantableSlots} from './grantable-slots.js';

/** The slots of an endpoint that may be granted, by the term, the followers and the time. */
function startGranting(): (slots: number, term: number | undefined, connected: number, now: number) => number {
	const grantable = new GrantableSlots();
	return (slots, term, connected, now) => Math.floor(slots * grantable.share(term, {connected, lacking: new Set()}, now));
}

test('a new coordinator grants nothing until all instances have reported, and then all slots', () => {
	const of = startGranting();
	assert.equal(of(16, undefined, 6, 0), 0, 'it has never been the coordinator');
	assert.equal(of(16, 1, 2, 100), 0);
	assert.equal(of(16, 1, 6, 1599), 0);
	assert.equal(of(16, 1, 6, 1600), 16);
});

test('a coordinator that may no longer grant alone grants no more than the parts of its followers', () => {
	const of = startGranting();
	of(16, 1, 6, 0);
	of(16, 1, 6, 2000);
	of(16, 1, 3, 3000);
	assert.equal(of(16, undefined, 6, 4000), 16);
	assert.equal(of(16, undefined, 3, 4000), 8, 'the others may follow another coordinator');
	assert.equal(of(16, undefined, 1, 4000), 2);
	assert.equal(of(2, undefined, 1, 4000), 0);
	assert.equal(of(16, undefined, 7, 4000), 16);
});

test('a coordinator whose lease is back grants the parts of its followers until all instances have reported', () => {
	const of = startGranting();
	of(16, 1, 6, 0);
	of(16, 1, 6, 2000);
	of(16, undefined, 6, 3000);
	assert.equal(of(16, 3, 3, 4000), 8);
	assert.equal(of(16, 3, 3, 5500), 16);
	assert.equal(of(16, undefined, 3, 6000), 16, 'the instances that have left are not waited for in a new term');
});
