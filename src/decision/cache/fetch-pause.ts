/**
 * Determines how long a fetch pauses between two blocks.
 *
 * Long prefixes may come over a store's link while an urgent question needs the same link. Without pauses a few overnight
 * fetches fill the link, and the urgent one waits behind megabytes that had hours to arrive. A block that took longer
 * than on an idle link shows that others are using the link; overnight fetches then leave room, as background transports
 * do. Instances need not communicate for this.
 */
import {type PriorityClass} from '../../shared/types.js';

/** Pause per millisecond of delay seen. An overnight fetch pauses for as long as it was delayed; the others never pause. */
export const pauseShare: Record<PriorityClass, number> = {urgent: 0, normal: 0, overnight: 1};
/** Bound on the pause, so that a transfer that looks stuck still goes on. */
const maxPauseMilliseconds = 1000;

/**
 * Computes the pause before the next block.
 *
 * @param priority - Class of the request that the fetch is for.
 * @param tookMilliseconds - How long the last block took.
 * @param idleMilliseconds - How long a block takes on an idle link.
 * @returns Milliseconds.
 */
export function fetchPause(priority: PriorityClass, tookMilliseconds: number, idleMilliseconds: number): number {
	const delay = Math.max(0, tookMilliseconds - idleMilliseconds);
	return Math.min(maxPauseMilliseconds, delay * pauseShare[priority]);
}
