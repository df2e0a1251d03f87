import {type FollowerSelf} from '../hub/hub-client.js';

/** Returns a follower without requests in flight, tables and watched endpoints; a test gives only the fields that matter. */
export function testFollower(changes: Partial<FollowerSelf> = {}): FollowerSelf {
	return {
		instance: 'i1',
		cores: 1,
		loads: () => ({}),
		takeUses: () => [],
		closed() {
			// There is no state to reset.
		},
		watched: () => [],
		places: () => ({}),
		takeTables() {
			// No table is followed.
		},
		...changes,
	};
}
