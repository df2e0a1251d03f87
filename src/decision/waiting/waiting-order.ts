/** The order in which queued requests of a lane are admitted. */
import {type WaitingRequest} from './waiting-request.js';

/** What the order depends on beside the requests. */
export type OrderContext = {
	/** Milliseconds of the steady clock. */
	now: number;
	/** Usual time from the admission of such a request to the first byte of its answer, in milliseconds. */
	serviceMilliseconds(request: WaitingRequest): number;
	/** Work that a workspace has recently used. */
	useOf(workspace: string): number;
};

export interface WaitingOrder {
	/** Returns a negative number if `one` goes before `other`. */
	compare(one: WaitingRequest, other: WaitingRequest, context: OrderContext): number;
}

/** Whether a request that is admitted now would usually still meet its objective. */
export function isInTime(request: WaitingRequest, {serviceMilliseconds, now}: OrderContext): boolean {
	return now + serviceMilliseconds(request) <= request.objectiveAt;
}
