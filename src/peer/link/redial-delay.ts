/** The delay before a peer is dialled again: exponential backoff with jitter. */

const firstDelayMilliseconds = 200;
const maxDelayMilliseconds = 5000;

/**
 * Computes the delay before the next dial.
 *
 * Most of the delay is random: after a rack has recovered or a partition has ended, peers with the same delay would dial at
 * the same time.
 *
 * @param failures - Dials that failed in a row, at least 1.
 * @param random - A number from 0 up to 1.
 * @returns Milliseconds.
 */
export function redialDelay(failures: number, random: number): number {
	const ceiling = Math.min(maxDelayMilliseconds, firstDelayMilliseconds * (2 ** (failures - 1)));
	return ceiling * (0.2 + (0.8 * random));
}
