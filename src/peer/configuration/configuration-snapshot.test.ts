import assert from 'node:assert/strict';
import {test} from 'node:test';
import {applyEdits} from '../../protocol/configuration/apply-change.js';
import {configurationKinds, emptyConfiguration, itemsOfKind} from '../../protocol/configuration/configuration-state.js';
import {type ConfigurationEdit} from '../../shared/types.js';
import {snapshotOf, stateOfSnapshot} from './configuration-snapshot.js';

// An operator drains an endpoint. Later an instance is replaced, and the new one gets its configuration as a snapshot of a
// peer. If the snapshot omitted a kind of item, the new instance would send requests to the drained endpoint. Its version and
// digest would be those of the others, so nothing would correct it.
test('a snapshot carries every kind of item', () => {
	const edits: ConfigurationEdit[] = [
		{
			action: 'set', kind: 'workspace', item: {
				name: 'quay', keyDigests: ['0'.repeat(64)], priority: 'urgent', share: 1, services: ['bookings'],
			},
		},
		{
			action: 'set', kind: 'service', item: {
				name: 'bookings', kind: 'plain', neverTwice: [], fencing: 'ignored', paused: true,
			},
		},
		{action: 'set', kind: 'rule', item: {name: 'all', deadlineMilliseconds: 1}},
		{action: 'set', kind: 'limit', item: {name: 'open-requests', value: 1}},
		{action: 'set', kind: 'drain', item: {name: 'riva-engine-1', reason: 'fan'}},
	];
	const state = {...applyEdits(emptyConfiguration, edits), version: 7, digest: 'd'};
	for (const kind of configurationKinds) {
		assert.equal(itemsOfKind(state, kind).size, 1, `this test needs an item of the kind ${kind}`);
	}

	assert.deepEqual(stateOfSnapshot(snapshotOf(state)), state);
});
