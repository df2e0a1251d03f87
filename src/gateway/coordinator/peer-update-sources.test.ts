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
	assert.equal(await new PeerUpdateSources(startSource('unavailable', false).source, standby.source, () => 0).takeSlot('desk-1', 2), 'granted');
	for (const slot of ['granted', 'denied', 'late'] as const) {
		assert.equal(await new PeerUpdateSources(startSource(slot, true).source, standby.source, () => 0).takeSlot('desk-1', 2), slot, 'an answer that is late may have granted it');
	}

	assert.deepEqual(standby.calls, ['slot']);
});

test('requests that end are reported to the standby too while it grants the slots', () => {
	const [coordinator, standby] = [startSource('unavailable', false), startSource('granted', true)];
	new PeerUpdateSources(coordinator.source, standby.source, () => 0).report();
	assert.deepEqual([coordinator.calls, standby.calls], [['report'], ['report']]);
	const granting = startSource('granted', true);
	new PeerUpdateSources(granting.source, standby.source, () => 0).report();
	assert.deepEqual([granting.calls, standby.calls], [['report'], ['report']]);
});

test('a caller waits for the coordinator and its standby no longer than it can', async () => {
	// Guards against an answer that is late because the caller has waited for both in turn.
	let now = 0;
	const waits: number[] = [];
	const startSlowSource = (): PeerUpdateSource => ({
		...startSource('unavailable', false).source,
		async refresh(_query, maxMilliseconds = Number.POSITIVE_INFINITY) {
			waits.push(maxMilliseconds);
			now += Math.min(120, maxMilliseconds);
			return false;
		},
	});
	await new PeerUpdateSources(startSlowSource(), startSlowSource(), () => now).refresh({endpoints: [], keys: [], partCount: 1}, 150);
	assert.deepEqual(waits, [150, 30]);
	assert.equal(now, 150);
});
