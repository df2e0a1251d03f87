import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LoadReport} from '../ports/model-engine.js';
import {type ListedInstance} from '../shared/types.js';
import {EndpointDirectory} from './endpoint-directory.js';

const listedAs = (role: ListedInstance['role'], state: ListedInstance['state']): ListedInstance => ({
	name: `${role}-1`, role, dataCentre: 'riva', service: role, address: '127.0.0.1:1', peerAddress: '', state,
});
const reportOf = (state: LoadReport['state']): LoadReport => ({
	model: 'permit-1',
	weightVersion: 'w1',
	state,
	runningRequests: 0, waitingRequests: 0, waitingPrefillTokens: 0, prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, batchLimit: 1, kvTokensUsed: 0, kvTokensCapacity: 1, measuredAt: 0,
});

test('an endpoint that is leaving by the list stays so when it reports itself as live', () => {
	// The platform is about to stop an endpoint that does not know it yet. Guards against reports that make the endpoint live
	// again until the next read of the list, so that requests are sent to it in between.
	const directory = new EndpointDirectory();
	directory.applyList([listedAs('model-engine', 'leaving')]);
	directory.applyReport('model-engine-1', reportOf('live'), 100);
	assert.equal(directory.engines()[0]?.state, 'leaving');
});

test('a plain endpoint that reports leaving, or stops reporting, gets no call although it is live by the list', () => {
	const directory = new EndpointDirectory();
	const list = [listedAs('plain-service', 'live')];
	directory.applyList(list);
	directory.applyReport('plain-service-1', reportOf('live'), 1000);
	assert.equal(directory.plainEndpointsOf('plain-service', 'riva', 4000).length, 1);
	assert.equal(directory.plainEndpointsOf('plain-service', 'riva', 4001).length, 0);
	directory.applyReport('plain-service-1', reportOf('leaving'), 5000);
	directory.applyList(list);
	assert.equal(directory.plainEndpointsOf('plain-service', 'riva', 5000).length, 0);
});
