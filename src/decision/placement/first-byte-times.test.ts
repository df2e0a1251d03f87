import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FirstByteTimes} from './first-byte-times.js';

test('nothing is usual before the first answer', () => {
	assert.equal(new FirstByteTimes().usualMilliseconds, 0);
});

test('a few answers that never came do not make an endpoint among quick ones look usual', () => {
	const times = new FirstByteTimes();
	for (let number = 0; number < 60; number++) {
		times.observe(number % 12 === 0 ? 2000 : 50);
	}

	assert.equal(times.usualMilliseconds, 50);
});

test('a service that has turned slow for all is usual within its last answers', () => {
	const times = new FirstByteTimes();
	for (let number = 0; number < 200; number++) {
		times.observe(number < 136 ? 50 : 1500);
	}

	assert.equal(times.usualMilliseconds, 1500);
});
