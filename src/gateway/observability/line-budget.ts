/**
 * Which lines of the log are left out when there are too many bytes of them.
 *
 * Collectors keep the newest part of what a process wrote. A process that writes much about requests that went well
 * pushes its lines about failures out of what is kept: whoever looks for a failure a minute later finds only successes.
 * So all lines together have a rate in bytes, and each rank may draw on the allowance only down to a reserve that is left
 * for the ranks above it. Ordinary ends are left out first, and however many there are, half of the burst is there for a
 * failure in any moment.
 */

/**
 * What a line is about, the first to be left out first.
 *
 * - `ordinary`: a request that ended as it should.
 * - `refusal`: a request that was refused, or rejected by an endpoint; all such lines of a second are alike.
 * - `failure`: a request that failed, was late, repeated or broken off.
 * - `process`: what the process believes: configuration, leases, endpoints, dependencies.
 */
export type LineRank = 'ordinary' | 'refusal' | 'failure' | 'process';

/**
 * What may be written on average: sixteen ordinary ends a second, the load of one instance at the target size. A collector
 * that keeps the newest 142 KB of a process then holds at least its last 40 s, where it held 11 s of the busiest one with
 * full lines for ordinary ends and no bound on bytes; recomputed from the lines of 14 instances.
 */
export const bytesPerSecond = 3072;

/** What may be written at once: the lines of some 40 requests that fail when an endpoint dies, in the failures' share. */
export const burstBytes = 32_768;

/** What a rank leaves for those above it. */
const reservedBytes: Record<LineRank, number> = {
	ordinary: burstBytes / 2,
	refusal: burstBytes / 4,
	failure: burstBytes / 8,
	process: 0,
};

export class LineBudget {
	#allowance = burstBytes;
	#filledAt: number | undefined;

	/**
	 * Tells whether a line of a rank is to be written, before anybody spends time on writing it out. A line that fits in part
	 * is written whole, so that one longer than the whole burst is not lost for good.
	 *
	 * @param rank - What the line is about.
	 * @param now - Milliseconds of any clock; one that is set back adds nothing.
	 */
	hasRoomFor(rank: LineRank, now: number): boolean {
		const elapsed = Math.max(0, now - (this.#filledAt ?? now));
		this.#filledAt = now;
		this.#allowance = Math.min(burstBytes, this.#allowance + (elapsed * bytesPerSecond / 1000));
		return this.#allowance > reservedBytes[rank];
	}

	/** Notes that a line of so many bytes was written. */
	spend(bytes: number): void {
		this.#allowance -= bytes;
	}
}
