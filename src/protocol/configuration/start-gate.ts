/**
 * Decides when a started process may begin to serve with the configuration that it holds.
 *
 * A process loses its state at a restart, and the first changes that it receives may be old: the first thousand of a long
 * chain, or the state of a peer that was partitioned. Serving with those would, for the callers, revert the configuration that
 * this instance had in force before. So the process waits until it has read the table to its end, or, if the table cannot be
 * reached, as long as peers need to send their newest version.
 */

/** How long the process waits for its peers' newest version: the time limit within which a change is in force everywhere. */
export const peerCatchUpDelayMilliseconds = 3000;

export class StartGate {
	#isOpen = false;
	#firstVersionAt: number | undefined;

	/** True once the process may serve; it does not become false again. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Records that the table was read to its end, so that the newest accepted version is in force here. */
	tableRead(): void {
		this.#isOpen = true;
	}

	/**
	 * Records that the table could not be read.
	 *
	 * @param version - The version received from peers; 0 if none.
	 * @param now - Milliseconds since the epoch.
	 */
	tableFailed(version: number, now: number): void {
		// The delay starts at the first change received. Otherwise an instance that was partitioned for longer than the delay
		// would start to serve while it catches up, with the first old change that reaches it.
		this.#firstVersionAt ??= version > 0 ? now : undefined;
		this.#isOpen ||= this.#firstVersionAt !== undefined && now - this.#firstVersionAt >= peerCatchUpDelayMilliseconds;
	}
}
