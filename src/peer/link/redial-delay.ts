/** How long to wait before a peer is dialled again. */

const firstDelayMilliseconds = 200;
const longestDelayMilliseconds = 5000;

/**
 * Gives the wait before the next try.
 *
 * The whole of the wait is random: after a rack comes back, or a cut ends, peers that all waited the same time would
 * dial at the same moment.
 *
 * @param failures - Tries that failed in a row, at least 1.
 * @param random - A number from 0 up to 1.
 * @returns Milliseconds.
 */
export function redialDelay(failures: number, random: number): number {
	const ceiling = Math.min(longestDelayMilliseconds, firstDelayMilliseconds * (2 ** (failures - 1)));
	return ceiling * (0.2 + (0.8 * random));
}
