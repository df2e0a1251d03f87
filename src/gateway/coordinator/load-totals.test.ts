import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {unpackLoad} from './coordinator-messages.js';
import {LoadTotals} from './load-totals.js';

const totalFor = (totals: LoadTotals, endpoint: string, instance: string): EndpointLoad => unpackLoad(totals.totalWithout(endpoint, instance));

test('the total of the other instances consists of the loads that each reported last', () => {
	const totals = new LoadTotals();
	totals.set('i1', {e1: [2, 10, 0, 50, 5, 0, 0], e2: [1, 0, 0, 0, 0, 0, 0]});
	totals.set('i2', {e1: [3, 20, 0, 40, 7, 0, 0]});
	assert.equal(totalFor(totals, 'e1', 'i1').requests, 3);
	assert.equal(totalFor(totals, 'e1', 'i3').requests, 5);
	assert.deepEqual(totalFor(totals, 'e1', 'i3').pendingPrefillTokens, [12, 0, 0]);
	assert.equal(totalFor(totals, 'e1', 'i3').lastByteAgoMilliseconds, 40);
	assert.equal(totals.requestsAt('e1'), 5);
	totals.set('i1', {e2: [4, 0, 0, 0, 0, 0, 0]});
	assert.equal(totals.requestsAt('e1'), 3);
	assert.equal(totals.requestsAt('e2'), 4);
});

test('the loads of a removed instance no longer count', () => {
	// Guards against endpoints that count as busy forever.
	const totals = new LoadTotals();
	totals.set('i1', {e1: [2, 10, 0, 50, 5, 0, 0]});
	totals.remove('i1');
	totals.remove('i1');
	assert.equal(totals.requestsAt('e1'), 0);
});
