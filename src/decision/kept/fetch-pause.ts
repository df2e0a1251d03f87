/**
 * How long a fetch rests between two pieces.
 *
 * Load it answers: long prefixes that come over a store's link while an urgent question needs the same link. Without it
 * a few overnight fetches fill the link, and the urgent one waits behind megabytes that had hours to arrive. A piece
 * that took longer than on an idle link shows that somebody else is there; work that can wait then leaves room, as
 * background transports do. It needs no word between instances.
 */
import {type PriorityClass} from '../../shared/types.js';

/**
 * Rest per millisecond of delay seen. Overnight work rests twice as long as it was held up, so that two of them leave
 * the link free for about half of the time; urgent work never rests.
 */
export const restShare: Record<PriorityClass, number> = {urgent: 0, normal: 0, overnight: 1};
/** A transfer that looks stuck must not stop for good. */
const longestRestMilliseconds = 1000;

/**
 * Works out the rest before the next piece.
 *
 * @param priority - Whose fetch it is.
 * @param tookMilliseconds - How long the last piece took.
 * @param idleMilliseconds - How long a piece takes on an idle link.
 * @returns Milliseconds.
 */
export function fetchPause(priority: PriorityClass, tookMilliseconds: number, idleMilliseconds: number): number {
	const delay = Math.max(0, tookMilliseconds - idleMilliseconds);
	return Math.min(longestRestMilliseconds, delay * restShare[priority]);
}
