/**
 * A token bucket in bytes that decides which lines of the log are left out when there are too many.
 *
 * Log collectors retain only the newest output of a process. A process that writes much about successful requests pushes
 * its lines about failures out of that window, so that an engineer who looks for a failure a minute later finds only
 * successes. Therefore all lines together have a rate in bytes, and each rank may use the allowance only down to a reserve
 * for the ranks above it. Lines of ordinary requests are left out first; however many there are, half of the burst stays
 * available to the other ranks. In addition, failures have a reserve of their own, for the case that endpoints fail.
 */

/**
 * What a line is about, in the order in which lines are left out.
 *
 * - `ordinary`: a request that completed normally.
 * - `whole`: a request that got a complete answer, but late, after a retry, or with an answer whose end is marked only by the
 *   end of its connection. These callers have their answers, and when the service is slow there are many: with the rank of
 *   failures, 10 such lines a second left room for the lines of only 7 to 10 of 60 broken answers a minute.
 * - `refusal`: a request that was refused, or rejected by an endpoint; all such lines of a second are alike.
 * - `failure`: a request that failed or whose answer was aborted.
 * - `process`: the state of the process: configuration, leases, endpoints, dependencies.
 */
export type LineRank = 'ordinary' | 'whole' | 'refusal' | 'failure' | 'process';

/**
 * Average rate of all lines: sixteen ordinary requests a second, the load of one instance at the target size. A collector
 * that retains the newest 142 KB of a process then holds its last 40 s, except during bursts of failures. With full lines for
 * ordinary requests and no bound on bytes, it held 11 s of the busiest process; computed from the lines of 14 instances.
 */
export const bytesPerSecond = 3072;

/** Bytes that all ranks together may write at once: the lines of some seconds. */
export const burstBytes = 32_768;

/**
 * Bytes that failures may write beyond the burst. With the rest of the burst they hold both lines, 860 bytes together, of
 * each of 80 requests that are aborted when two endpoints fail at once, after any number of other lines. Without this
 * reserve, 10 of the 80 had both lines. It is separate from the burst: with a burst of three times the size, the bytes of the
 * failures would have to be refilled first, and later refusals and ordinary requests would have no line for some 15 s.
 * A collector that retains 142 KB still holds some 15 s of the lines before.
 */
export const failureReserveBytes = 65_536;

/** Share of the rate that refills the failure reserve: three minutes from empty, at the cost of two ordinary lines a second. */
const failureReserveShare = 1 / 8;

/** Bytes of the burst that each rank leaves to the ranks above it. */
const reservedBytes: Record<LineRank, number> = {
	ordinary: burstBytes / 2,
	whole: burstBytes * 3 / 8,
	refusal: burstBytes / 4,
	failure: burstBytes / 8,
	process: 0,
};

export class LineBudget {
	#allowance = burstBytes;
	#failureReserve = failureReserveBytes;
	#filledAt: number | undefined;

	/**
	 * Returns whether a line of a rank may be written; called before the line is serialised. Any remaining allowance is enough
	 * for a whole line, so that a line longer than the burst can be written at all.
	 *
	 * @param rank - What the line is about.
	 * @param now - Milliseconds of any clock; a clock that is set back adds nothing to the allowance.
	 */
	hasRoomFor(rank: LineRank, now: number): boolean {
		this.#fill(now);
		return this.#hasAllowance(rank) || (rank === 'failure' && this.#failureReserve > 0);
	}

	/** Deducts the bytes of a written line. The failure reserve is used only after the allowance. */
	spend(rank: LineRank, bytes: number): void {
		if (rank === 'failure' && !this.#hasAllowance(rank)) {
			this.#failureReserve -= bytes;
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
		const reserved = Math.min(failureReserveBytes - this.#failureReserve, gained * failureReserveShare);
		this.#failureReserve += reserved;
		this.#allowance = Math.min(burstBytes, this.#allowance + gained - reserved);
	}
}
