import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createMessageReader, encodeMessage} from './message-codec.js';
import {type PeerMessage} from './peer-message.js';

test('a heartbeat is small and is decoded as it was encoded', () => {
	const heartbeat: PeerMessage = {
		kind: 'heartbeat', incarnation: 1_796_000_000_000, viewDigest: 4_000_000_000, configurationVersion: 23_000,
	};
	const frame = encodeMessage(heartbeat);
	assert.ok(frame.length <= 48, `${frame.length} bytes`);
	assert.deepEqual(createMessageReader().read(frame).extract(), [heartbeat]);
});

test('load updates keep what routing needs', () => {
	const updates = [{
		endpoint: 4_000_000_000, running: 300, waiting: 7, waitingPrefillTokens: 6400, kvShare: 1,
	}];
	const message: PeerMessage = {
		kind: 'loads', loads: [], updates, age: 3,
	};
	assert.deepEqual(createMessageReader().read(encodeMessage(message)).extract(), [{...message, updates: [{...updates[0], running: 255}]}]);
});
