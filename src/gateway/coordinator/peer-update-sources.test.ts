import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SlotAnswer} from '../limits/brittle-services.js';
import {type PeerUpdateSource, PeerUpdateSources} from './peer-update-sources.js';

/** A source that records what it is called for. */
function startSource(slot: SlotAnswer, grantsSlots: boolean) {
	const calls: string[] = [];
	const source: PeerUpdateSource = {
		isConnected: true,
		isResponsive: true,
		instances: 2,
		grantsSlots,
		async takeSlot() {
			calls.push('slot');
			return slot;
		},
		async takePermit() {
			calls.push('permit');
			return undefined;
		},
		refresh: async () => true,
		report() {
			calls.push('report');
		},
	};
	return {source, calls};
}

test('the standby is asked for a slot only where the coordinator grants none', async () => {
	const standby = startSource('granted', true);
	assert.equal(await new PeerUpdateSources(startSource('unavailable', false).source, standby.source).takeSlot('desk-1', 2), 'granted');
	for (const slot of ['granted', 'denied', 'late'] as const) {
		assert.equal(await new PeerUpdateSources(startSource(slot, true).source, standby.source).takeSlot('desk-1', 2), slot, 'an answer that is late may have granted it');
	}

	assert.deepEqual(standby.calls, ['slot']);
});

test('requests that end are reported to the standby too while it grants the slots', () => {
	const [coordinator, standby] = [startSource('unavailable', false), startSource('granted', true)];
	new PeerUpdateSources(coordinator.source, standby.source).report();
	assert.deepEqual([coordinator.calls, standby.calls], [['report'], ['report']]);
	const granting = startSource('granted', true);
	new PeerUpdateSources(granting.source, standby.source).report();
	assert.deepEqual([granting.calls, standby.calls], [['report'], ['report']]);
});
