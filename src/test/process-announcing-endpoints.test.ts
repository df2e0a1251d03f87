import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runAnnouncingEndpoints} from '../check/announcing-endpoints-over-processes.js';

test('over real processes: an endpoint whose answers say that it leaves gets no more requests, while the store is away as well', async () => {
	const {told, late} = await runAnnouncingEndpoints({
		seed: 1, network: 46, milliseconds: 16_000, announcement: 'leaving',
	});
	assert.ok(told > 0, 'an endpoint has said that it leaves');
	assert.equal(late, 0);
});

test('over real processes: an endpoint that asks for a rest gets no more than two requests from that instance within it', async () => {
	const {told, mostInRest} = await runAnnouncingEndpoints({
		seed: 1, network: 44, milliseconds: 16_000, announcement: 'rest',
	});
	assert.ok(told > 0, 'an endpoint has asked for a rest');
	assert.ok(mostInRest <= 2, `${mostInRest} requests within a rest`);
});
