/**
 * Decides when a fresh process may begin to serve by the configuration that it holds.
 *
 * A process keeps nothing over a restart, and the first change that reaches it may be old: the first thousand of a long
 * chain, or what a peer that was cut off still has. Serving by that would undo, for its callers, what the instance had
 * in force before. So it waits until it has read the table to its end; with the table out of reach, it waits as long as
 * peers need to bring their newest version.
 */

/** How long peers get to bring their newest version: the bound within which a change is in force everywhere. */
export const peerPatienceMilliseconds = 3000;

export class StartGate {
	#isOpen = false;
	#heardAt: number | undefined;

	/** True once the process may serve; it stays so. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** The table was read to its end, so the newest accepted version is in force here. */
	tableRead(): void {
		this.#isOpen = true;
	}

	/**
	 * The table could not be read.
	 *
	 * @param version - The version held, from peers; 0 if none.
	 * @param now - Milliseconds since the epoch.
	 */
	tableFailed(version: number, now: number): void {
		// Patience begins with the first change heard: an instance that is cut off longer than that would else open in
		// the middle of catching up, with the first old change that reaches it.
		this.#heardAt ??= version > 0 ? now : undefined;
		this.#isOpen ||= this.#heardAt !== undefined && now - this.#heardAt >= peerPatienceMilliseconds;
	}
}
