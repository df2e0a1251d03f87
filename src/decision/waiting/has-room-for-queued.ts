/** Decides whether a queued request may be placed on the endpoint that was chosen for it. */
import {type PlacementBasis, type PlacementRequest} from '../placement/placement.js';

/** What the decision depends on. */
export type PlacedFromQueue = Pick<PlacementRequest, 'prompt'> & {
	/** Whether the service gets more urgent requests, and none that are less urgent. */
	isLeastUrgent: boolean;
	/** Whether an endpoint has rejected it as full. */
	wasRejected: boolean;
};

/**
 * Decides whether an endpoint has room for a queued request.
 *
 * A prompt of the least urgent rank is taken from the queue only when the engine has nothing to prefill before it. It gains
 * nothing by waiting at the engine instead, and urgent prompts that arrive meanwhile would be late behind the prefill of both.
 * Prompts of a rank between would find such an engine too seldom, and be refused more often than less urgent ones.
 *
 * A plain call that was rejected needs a free slot. Otherwise the admission of the placement is enough.
 *
 * @param request - The request.
 * @param basis - What its placement was decided by.
 * @param slots - Requests that the endpoint runs concurrently.
 */
export function hasRoomForQueued({prompt, isLeastUrgent, wasRejected}: PlacedFromQueue, {occupancy, unreadBefore = 0}: PlacementBasis, slots: number): boolean {
	return prompt === undefined
		? !wasRejected || occupancy < slots
		: !isLeastUrgent || unreadBefore === 0;
}
