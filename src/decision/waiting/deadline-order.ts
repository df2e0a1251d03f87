/** Baseline: orders by urgency, and within a rank by the objective alone, without regard to workspaces. */
import {isInTime, type OrderContext, type WaitingOrder} from './waiting-order.js';
import {type WaitingRequest} from './waiting-request.js';

export class DeadlineOrder implements WaitingOrder {
	compare(one: WaitingRequest, other: WaitingRequest, context: OrderContext): number {
		return (Number(isInTime(other, context)) - Number(isInTime(one, context)))
			|| (one.rank - other.rank)
			|| (one.objectiveAt - other.objectiveAt);
	}
}
