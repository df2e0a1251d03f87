import assert from 'node:assert/strict';
import {test} from 'node:test';
import {cacheSalt, versionOfSalt} from './cache-salt.js';

test('the weight version is read back from a salt, also where the scope looks like one', () => {
	assert.equal(versionOfSalt(cacheSalt('shared', 12)), 12);
	assert.equal(versionOfSalt(cacheSalt('workspace-a-w3', 7)), 7);
	assert.equal(versionOfSalt('once-91af'), undefined);
});
