/**
 * Orders by urgency, and within a rank by the use of workspaces.
 *
 * Without the first, requests that are late already delay those that could be in time. Without the second, a workspace that
 * sends many requests at once takes all capacity of its rank.
 */
import {isInTime, type OrderContext, type WaitingOrder} from './waiting-order.js';
import {type WaitingRequest} from './waiting-request.js';

export class FairShareOrder implements WaitingOrder {
	compare(one: WaitingRequest, other: WaitingRequest, context: OrderContext): number {
		return (Number(isInTime(other, context)) - Number(isInTime(one, context)))
			|| (one.rank - other.rank)
			|| (one.workspace === other.workspace ? 0 : context.useOf(one.workspace) - context.useOf(other.workspace))
			|| (one.objectiveAt - other.objectiveAt);
	}
}
