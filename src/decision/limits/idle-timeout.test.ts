import assert from 'node:assert/strict';
import {test} from 'node:test';
import {idleTimeoutMilliseconds} from './idle-timeout.js';

test('a connection is not reused so late that an endpoint which stops for two seconds closes it with the request on it', () => {
	assert.equal(idleTimeoutMilliseconds(10_000), 7200);
	assert.ok(idleTimeoutMilliseconds(5000) + 2000 < 5000);
});

test('a short timeout leaves half of it, and none without room for a late timer', () => {
	assert.equal(idleTimeoutMilliseconds(2000), 1000);
	assert.equal(idleTimeoutMilliseconds(1000), 200);
	assert.ok(idleTimeoutMilliseconds(0) <= 0);
	assert.equal(idleTimeoutMilliseconds(), 700);
	assert.equal(idleTimeoutMilliseconds(60_000), 10_000);
});
