/**
 * What an order may do when it comes late or twice, and therefore when it may be given to an endpoint that ignores
 * fencing numbers. An endpoint that checks them refuses an older holder's order by itself.
 */
import {type EngineOrder} from '../../ports/model-engine.js';
import {type FencingCheck} from '../../shared/types.js';

/**
 * `harmless`: late or repeated it changes nothing that anybody relies on. `harmful`: late it undoes the order of a newer
 * holder.
 */
export type OrderHazard = 'harmless' | 'harmful';

/**
 * The longest that a holder is taken to stand still between its look at the table and its order. Behind it, an older
 * holder's order can no longer be on its way. A longer standstill breaks the bound for endpoints that ignore numbers.
 */
export const longestPauseMilliseconds = 60_000;

/**
 * The hazard of each order. Loading an adapter only adds one. Leaving is final for an endpoint, so a second order to
 * leave changes nothing. A late load of a version, or a late change of role, would undo a newer one.
 */
export const hazardOfOrder: Record<EngineOrder['action']['kind'], OrderHazard> = {
	'load-adapter': 'harmless',
	leave: 'harmless',
	'load-version': 'harmful',
	'change-role': 'harmful',
};

/**
 * Tells how long a new holder waits before an order.
 *
 * @param action - The order.
 * @param endpoint - Whether the endpoint checks fencing numbers, and when this holder got its number, in milliseconds
 * since the epoch.
 * @param now - Milliseconds since the epoch.
 * @returns Milliseconds; 0 for at once.
 */
export function waitBeforeOrder(action: EngineOrder['action'], endpoint: {fencing: FencingCheck; numberedAt: number}, now: number): number {
	if (endpoint.fencing === 'checked' || hazardOfOrder[action.kind] === 'harmless') {
		return 0;
	}

	return Math.max(0, endpoint.numberedAt + longestPauseMilliseconds - now);
}
