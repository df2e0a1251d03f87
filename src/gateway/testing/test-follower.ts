import {type LocalFollower} from '../coordinator/local-follower.js';

/** Returns a follower without requests in flight, tables and watched endpoints; a test gives only the fields that matter. */
export function testFollower(changes: Partial<LocalFollower> = {}): LocalFollower {
	return {
		instance: 'i1',
		cores: 1,
		loads: () => ({}),
		holdSlot() {
			// No endpoint is brittle.
		},
		takeUses: () => [],
		closed() {
			// There is no state to reset.
		},
		brittle: () => [],
		applyBrittle() {
			// No service is brittle.
		},
		lacksSlots: () => false,
		unconfirmedCrashes: () => [],
		applyCrashes() {
			// No endpoint has crashed.
		},
		pacesAfter: position => ({paces: [], position}),
		applyPaces() {
			// No endpoint reports its pace.
		},
		relay: () => undefined,
		wantsRelays: () => false,
		applyRelays() {
			// No relay is used.
		},
		streamPeers: () => undefined,
		applyStreamPeers() {
			// No origin of a stream is shared.
		},
		watchedEndpoints: () => [],
		cursors: () => ({}),
		applyTableUpdates() {
			// No table is followed.
		},
		...changes,
	};
}
