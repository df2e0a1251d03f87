/**
 * Classifies orders by the harm that they do when they arrive late or twice, and decides when an order may be sent to an
 * endpoint that ignores fencing numbers. An endpoint that checks them refuses orders of older holders by itself.
 */
import {type EngineOrder} from '../../ports/model-engine.js';
import {type FencingCheck} from '../../shared/types.js';

/**
 * `harmless`: an order that arrives late or twice has no bad effect. `harmful`: a late order undoes the order of a newer
 * holder.
 */
export type OrderHazard = 'harmless' | 'harmful';

/**
 * The longest assumed pause of a holder between reading the table and sending its order. After this time no order of an older
 * holder is in flight. A longer pause breaks the guarantee for endpoints that ignore numbers.
 */
export const maxHolderPauseMilliseconds = 60_000;

/**
 * The hazard of each kind of order. Loading an adapter only adds one. Leaving is final for an endpoint, so a second order to
 * leave has no effect. A late load of a version, or a late change of role, would undo a newer one.
 */
export const hazardOfOrder: Record<EngineOrder['action']['kind'], OrderHazard> = {
	'load-adapter': 'harmless',
	leave: 'harmless',
	'load-version': 'harmful',
	'change-role': 'harmful',
};

/**
 * Returns how long a new holder must wait before it sends an order.
 *
 * @param action - The order.
 * @param endpoint - Whether the endpoint checks fencing numbers, and when this holder got its number, in milliseconds
 * since the epoch.
 * @param now - Milliseconds since the epoch.
 * @returns Milliseconds; 0 if the order may be sent at once.
 */
export function waitBeforeOrder(action: EngineOrder['action'], endpoint: {fencing: FencingCheck; numberedAt: number}, now: number): number {
	if (endpoint.fencing === 'checked' || hazardOfOrder[action.kind] === 'harmless') {
		return 0;
	}

	return Math.max(0, endpoint.numberedAt + maxHolderPauseMilliseconds - now);
}
