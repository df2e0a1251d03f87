import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PermitQuery} from './coordinator-messages.js';
import {PermitGrants} from './permit-grants.js';

const query = (incarnation: string, changes: Partial<PermitQuery> = {}): PermitQuery => ({
	incarnation, limitPerSecond: 1, answeredMilliseconds: 0, ...changes,
});

test('permits are counted for each incarnation of an endpoint, and a new coordinator starts without any', () => {
	const grants = new PermitGrants();
	assert.equal(grants.answer(query('desk-1@1'), 0), 'denied');
	assert.equal(grants.answer(query('desk-1@1'), 1000), 'granted');
	assert.equal(grants.answer(query('desk-1@1'), 1000), 'denied');
	assert.equal(grants.answer(query('desk-1@2'), 1000), 'denied', 'its predecessor\'s time does not count');
	assert.equal(grants.answer(query('desk-1@2'), 2000), 'granted');
});

test('the latest answer of an endpoint decides whether its limit holds', () => {
	const grants = new PermitGrants();
	grants.answer(query('desk-1@1', {limitPerSecond: null}), 1000);
	assert.equal(grants.answer(query('desk-1@1', {answeredMilliseconds: 500}), 1100), 'unlimited');
	assert.equal(grants.answer(query('desk-1@1', {answeredMilliseconds: 50}), 1100), 'denied');
	assert.equal(grants.answer(query('desk-1@1', {answeredMilliseconds: 500}), 1200), 'denied', 'the end is forgotten once the limit was named again');
});

test('an instance that was answered while the limit was higher gets permits at the present limit', () => {
	const grants = new PermitGrants();
	let granted = 0;
	for (let now = 0; now < 10_000; now += 100) {
		grants.answer({incarnation: 'desk-1@1', limitPerSecond: 1, answeredMilliseconds: 0}, now);
		granted += grants.answer({incarnation: 'desk-1@1', limitPerSecond: 100, answeredMilliseconds: now + 1000}, now) === 'granted' ? 1 : 0;
	}

	assert.ok(granted <= 10, `${granted} permits in 10 s at 1 a second`);
});
