/**
 * What connections to one address, one after the other, show about the process there: whether it may have been replaced since its
 * row was written, and which incarnation it followed.
 *
 * A connection ends with its process, but endpoints also close idle ones. Then the next one is accepted at once and stays open;
 * no process ends and starts again in that time.
 */

/** What connections show about a process. */
export type ObservedProcess = {
	/** Since when it is the same, in milliseconds of the steady clock. */
	since: number;
	/** The start of the incarnation that it is the next one after; `undefined` if that is not known. */
	successorOf: number | undefined;
};

/** A connection that is opened so soon after the end of the last one leads to the same process, ... */
const maxPauseMilliseconds = 100;
/** ... unless it ends within this time: a process that ends may close its listener later than its connections. */
const settlingMilliseconds = 150;
const retryMilliseconds = 100;
/** No process starts, writes its row and ends between two attempts that are not further apart. */
const maxAttemptGapMilliseconds = 400;
/** An endpoint that closes so many connections in a row so soon has no room for this one, and cannot be watched. */
const maxShortConnections = 3;
const shortConnectionMilliseconds = 1000;
const unwatchablePauseMilliseconds = 10_000;

export class ProcessWatch {
	#dueAt = Number.NEGATIVE_INFINITY;
	#openedAt: number | undefined;
	#closedAt: number | undefined;
	/** Until when the present connection may still lead to a process that ends. */
	#settlesAt = Number.NEGATIVE_INFINITY;
	#observed: ObservedProcess = {since: Number.POSITIVE_INFINITY, successorOf: undefined};
	/** Whether the process may be another one than that of the row. */
	#isDoubted = false;
	/** The incarnation that was at the address, and when nothing listened there last. */
	#former: {startedAt: number; goneAt: number} | undefined;
	#shortConnections = 0;
	#isLost = false;

	/** Whether it is time to open a connection, at a time of the steady clock in milliseconds. */
	isDue(now: number): boolean {
		return this.#openedAt === undefined && now >= this.#dueAt;
	}

	/**
	 * Whether the process at the address is taken to be that of a row.
	 *
	 * @param isProven - Whether an observed process is that of the row.
	 */
	isCertain(isProven: (process: ObservedProcess) => boolean, now: number): boolean {
		const hasEverConnected = this.#openedAt !== undefined || this.#closedAt !== undefined;
		if (!hasEverConnected || this.#shortConnections >= maxShortConnections) {
			return true;
		}

		if (this.#openedAt === undefined || now < this.#settlesAt) {
			return false;
		}

		this.#isDoubted &&= !isProven(this.#observed);
		return !this.#isDoubted;
	}

	/** Records that the connection was opened. */
	noteOpened(now: number): void {
		const isSame = this.#closedAt !== undefined && now - this.#closedAt <= maxPauseMilliseconds;
		if (!isSame) {
			this.#observed = {since: now, successorOf: this.#isUninterrupted(now) ? this.#former?.startedAt : undefined};
			this.#isDoubted = this.#closedAt !== undefined;
		}

		this.#settlesAt = isSame ? now + settlingMilliseconds : Number.NEGATIVE_INFINITY;
		this.#openedAt = now;
	}

	/** Records that the address cannot be reached; the connection is to be closed. */
	noteLost(): void {
		this.#isLost = this.#openedAt !== undefined;
	}

	/** Records an attempt that began at a time and has failed. */
	noteNotConnected(result: 'refused' | 'silent', startedAt: number, now: number): void {
		this.#former = this.#former !== undefined && result === 'refused' && this.#isUninterrupted(now) ? {...this.#former, goneAt: startedAt} : undefined;
		this.#closedAt = this.#closedAt === undefined ? undefined : Number.NEGATIVE_INFINITY;
		this.#dueAt = now + retryMilliseconds;
	}

	/**
	 * Records the end of the connection.
	 *
	 * @param listedStart - The start of the listed incarnation.
	 * @param isProven - Whether an observed process is that incarnation.
	 */
	noteClosed(now: number, listedStart: number | undefined, isProven: (process: ObservedProcess) => boolean): void {
		const isSettled = now >= this.#settlesAt;
		const isKnown = isSettled && !this.#isLost && listedStart !== undefined && (!this.#isDoubted || isProven(this.#observed));
		const former = isKnown ? {startedAt: listedStart, goneAt: now} : undefined;
		// Where the last connection has not settled, its process is the one that was known before.
		this.#former = isSettled || this.#isLost || this.#former === undefined ? former : {...this.#former, goneAt: now};
		this.#shortConnections = !this.#isLost && now - (this.#openedAt ?? now) < shortConnectionMilliseconds ? this.#shortConnections + 1 : 0;
		this.#openedAt = undefined;
		this.#closedAt = isSettled && !this.#isLost ? now : Number.NEGATIVE_INFINITY;
		this.#isLost = false;
		this.#dueAt = this.#shortConnections >= maxShortConnections ? now + unwatchablePauseMilliseconds : now;
	}

	/** Whether no process can have been at the address unnoticed since the last connection ended. */
	#isUninterrupted(now: number): boolean {
		return this.#former !== undefined && now - this.#former.goneAt <= maxAttemptGapMilliseconds;
	}
}
