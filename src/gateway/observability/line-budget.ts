/**
 * Which lines of the log are left out when there are too many bytes of them.
 *
 * Collectors keep the newest part of what a process wrote. A process that writes much about requests that went well
 * pushes its lines about failures out of what is kept: whoever looks for a failure a minute later finds only successes.
 * So all lines together have a rate in bytes, and each rank may draw on the allowance only down to a reserve that is left
 * for the ranks above it. Ordinary ends are left out first, and however many there are, three quarters of the burst
 * are there for failures in any moment.
 */

/**
 * What a line is about, the first to be left out first.
 *
 * - `ordinary`: a request that ended as it should.
 * - `whole`: a request that ended whole, but late, repeated, or with nothing but the end of its connection to say so. Their
 *   callers have their answers, and on a slow day they are many: 10 a second with the rank of failures left of 60 broken
 *   answers a minute the lines of 7 to 10.
 * - `refusal`: a request that was refused, or rejected by an endpoint; all such lines of a second are alike.
 * - `failure`: a request that failed or broke off.
 * - `process`: what the process believes: configuration, leases, endpoints, dependencies.
 */
export type LineRank = 'ordinary' | 'whole' | 'refusal' | 'failure' | 'process';

/**
 * What may be written on average: sixteen ordinary ends a second, the load of one instance at the target size. A collector
 * that keeps the newest 142 KB of a process then holds at least its last 40 s, where it held 11 s of the busiest one with
 * full lines for ordinary ends and no bound on bytes; recomputed from the lines of 14 instances.
 */
export const bytesPerSecond = 3072;

/**
 * What may be written at once: both lines of 80 requests that break off when two endpoints die together, 860 bytes each,
 * behind any storm of other lines. With a third of it 10 of the 80 had both. A collector that keeps 142 KB still holds what
 * came before such a burst, some 15 s.
 */
export const burstBytes = 98_304;

/** What the ranks up to refusals may take of the burst; the rest is there for failures in any moment. */
const burstOfRanks = {ordinary: 16_384, whole: 20_480, refusal: 24_576} as const;

/** What a rank leaves for those above it. */
const reservedBytes: Record<LineRank, number> = {
	ordinary: burstBytes - burstOfRanks.ordinary,
	whole: burstBytes - burstOfRanks.whole,
	refusal: burstBytes - burstOfRanks.refusal,
	failure: 4096,
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
