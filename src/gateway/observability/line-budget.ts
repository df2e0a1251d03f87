/**
 * Which lines of the log are left out when there are too many bytes of them.
 *
 * Collectors keep the newest part of what a process wrote. A process that writes much about requests that went well
 * pushes its lines about failures out of what is kept: whoever looks for a failure a minute later finds only successes.
 * So all lines together have a rate in bytes, and each rank may draw on the allowance only down to a reserve that is left
 * for the ranks above it. Ordinary ends are left out first, and however many there are, half of the burst is there for the
 * other ranks in any moment. Failures have savings beside it, for the moment in which endpoints die.
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
 * that keeps the newest 142 KB of a process then holds its last 40 s, but for bursts of failures, where it held 11 s of the
 * busiest one with full lines for ordinary ends and no bound on bytes; recomputed from the lines of 14 instances.
 */
export const bytesPerSecond = 3072;

/** What may be written at once by all ranks together: the lines of some seconds. */
export const burstBytes = 32_768;

/**
 * What failures may write beyond the burst: with its rest, both lines of 80 requests that break off when two endpoints die
 * together, 860 bytes each, behind any storm of other lines. Without it 10 of the 80 had both. It is apart from the burst:
 * with a burst of three times the size such failures would have to be paid back first, and the refusals that follow them,
 * and ordinary ends, would have no line for some 15 s. A collector that keeps 142 KB still holds what came before, some 15 s.
 */
export const savedBytes = 65_536;

/** Of what comes in, for as long as savings are not full: three minutes from none, at the cost of two ordinary ends a second. */
const shareOfSavings = 1 / 8;

/** What a rank leaves of the burst for those above it. */
const reservedBytes: Record<LineRank, number> = {
	ordinary: burstBytes / 2,
	whole: burstBytes * 3 / 8,
	refusal: burstBytes / 4,
	failure: burstBytes / 8,
	process: 0,
};

export class LineBudget {
	#allowance = burstBytes;
	#savings = savedBytes;
	#filledAt: number | undefined;

	/**
	 * Tells whether a line of a rank is to be written, before anybody spends time on writing it out. A line that fits in part
	 * is written whole, so that one longer than the whole burst is not lost for good.
	 *
	 * @param rank - What the line is about.
	 * @param now - Milliseconds of any clock; one that is set back adds nothing.
	 */
	hasRoomFor(rank: LineRank, now: number): boolean {
		this.#fill(now);
		return this.#hasAllowance(rank) || (rank === 'failure' && this.#savings > 0);
	}

	/** Notes that a line of so many bytes was written. Savings are spent last. */
	spend(rank: LineRank, bytes: number): void {
		if (rank === 'failure' && !this.#hasAllowance(rank)) {
			this.#savings -= bytes;
		} else {
			this.#allowance -= bytes;
		}
	}

	#hasAllowance(rank: LineRank): boolean {
		return this.#allowance > reservedBytes[rank];
	}

	#fill(now: number): void {
		const elapsed = Math.max(0, now - (this.#filledAt ?? now));
		this.#filledAt = now;
		const gained = elapsed * bytesPerSecond / 1000;
		const saved = Math.min(savedBytes - this.#savings, gained * shareOfSavings);
		this.#savings += saved;
		this.#allowance = Math.min(burstBytes, this.#allowance + gained - saved);
	}
}
