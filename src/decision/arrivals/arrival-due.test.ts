import assert from 'node:assert/strict';
import {test} from 'node:test';
import {arrivalDueAfter, bodyGraceMilliseconds} from './arrival-due.js';

test('a body that arrives fast and then stands still is due after the grace, however long it is', () => {
	// Guards against a crowd whose bodies stop just short of their end and hold their memory for as long as a request may take.
	assert.equal(arrivalDueAfter(0, 4_000_000, 100), 100 + bodyGraceMilliseconds);
});

test('a body that arrives a few bytes at a time is due although it never stands still', () => {
	let dueAt = bodyGraceMilliseconds;
	for (let now = 0; now <= 2000; now += 10) {
		dueAt = arrivalDueAfter(dueAt, 20, now);
	}

	assert.ok(dueAt < 2000, String(dueAt));
});

test('a body over a slow link is never due while it arrives', () => {
	let dueAt = bodyGraceMilliseconds;
	for (let now = 100; now <= 10_000; now += 100) {
		dueAt = arrivalDueAfter(dueAt, 7000, now);
		assert.ok(dueAt > now, `${dueAt} at ${now}`);
	}
});
