import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EndpointRests} from './endpoint-rests.js';

test('the later end of two rests counts', () => {
	const rests = new EndpointRests();
	rests.request('desk-1@1', 3000, 0);
	rests.request('desk-1@1', 1000, 500);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 500), 2500);
	rests.request('desk-1@1', 3000, 1000);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 1000), 3000);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 4000), 0);
});

test('a new incarnation has not asked for the rest of its predecessor', () => {
	const rests = new EndpointRests();
	rests.request('desk-1@1', 3000, 0);
	assert.equal(rests.remainingMilliseconds('desk-1@2', 0), 0);
});

test('after a rest requests go one by one until the endpoint accepts one', () => {
	const rests = new EndpointRests();
	rests.request('desk-1@1', 1000, 0);
	rests.noteSent('desk-1@1', 1000);
	assert.ok(rests.remainingMilliseconds('desk-1@1', 1001) > 0);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 2000), 0, 'a lost answer does not keep it out of use');
	rests.noteSent('desk-1@1', 2000);
	rests.noteAccepted('desk-1@1', 2050);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 2051), 0);
	rests.noteSent('desk-1@1', 2051);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 2052), 0);
});

test('an answer to a request that was sent before a rest does not end it', () => {
	const rests = new EndpointRests();
	rests.request('desk-1@1', 1000, 0);
	rests.noteAccepted('desk-1@1', 500);
	assert.equal(rests.remainingMilliseconds('desk-1@1', 500), 500);
});
