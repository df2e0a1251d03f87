import {type FollowerSelf} from '../hub/hub-client.js';

/** An instance that has nothing under way, follows no tables and watches no endpoints; each test names only what it is about. */
export function testFollower(changes: Partial<FollowerSelf> = {}): FollowerSelf {
	return {
		instance: 'i1',
		cores: 1,
		loads: () => ({}),
		takeUses: () => [],
		closed() {
			// Nothing is to be forgotten.
		},
		watched: () => [],
		places: () => ({}),
		takeTables() {
			// None is followed.
		},
		...changes,
	};
}
