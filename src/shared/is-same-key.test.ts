import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isSameKey} from './is-same-key.js';

test('keys are the same only as a whole', () => {
	assert.equal(isSameKey('key', 'key'), true);
	assert.equal(isSameKey('kez', 'key'), false);
	assert.equal(isSameKey('ke', 'key'), false);
	assert.equal(isSameKey('', 'key'), false);
});
