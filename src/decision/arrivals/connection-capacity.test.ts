import assert from 'node:assert/strict';
import {test} from 'node:test';
import {connectionCapacityOf} from './connection-capacity.js';

test('connections leave descriptors for files, endpoints, the store and other instances', () => {
	// Guards against a crowd of connections at which connections to endpoints and to the store fail.
	assert.equal(connectionCapacityOf(2069), 1495);
	assert.equal(connectionCapacityOf(100), 16);
});
