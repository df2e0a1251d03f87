import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PermitGrants} from './permit-grants.js';

test('permits are counted for each incarnation of an endpoint, and a new coordinator starts without any', () => {
	const grants = new PermitGrants();
	assert.equal(grants.grant('desk-1@1', 1, 0), false);
	assert.equal(grants.grant('desk-1@1', 1, 1000), true);
	assert.equal(grants.grant('desk-1@1', 1, 1000), false);
	assert.equal(grants.grant('desk-1@2', 1, 1000), false, 'its predecessor\'s time does not count');
	assert.equal(grants.grant('desk-1@2', 1, 2000), true);
});
