/**
 * The order in which a coordinator that lags answers the queries that wait.
 *
 * A follower waits for an answer for a limited time and then places its prompt without one. First in, first out, a coordinator
 * that lags by more than that time answers each query too late, so that its work helps nobody. Answering the newest queries
 * first and dropping those that are too old keeps most answers useful while it catches up.
 *
 * A query is dropped only if nothing but its answer in time depends on it. The others are answered first, oldest first: a follower
 * that gets no answer to its regular queries takes the coordinator for unresponsive, and a grant counts at the coordinator. They
 * are few, so that they take little of the time in which prompts' queries are answered. A follower that sends many prompts sends
 * no regular queries, so a follower that has waited for long for any answer goes before the others, and its newest query is
 * answered whatever its age.
 *
 * The queries of one follower are answered in the order in which they were sent: an answer out of order would replace newer
 * knowledge at the follower by older.
 */

/** A query that waits for its answer. */
export type WaitingQuery<Query> = {
	query: Query;
	/** When it was sent, as an estimate in milliseconds of the coordinator's steady clock. */
	sentAt: number;
	/** Whether only an answer in time is of use, so that it may be dropped afterwards. */
	mayDrop: boolean;
};

/** When queries are dropped. */
export type AnswerLimits = {
	/** Age at which a query is dropped, where it may be. */
	maxAgeMilliseconds: number;
	/** A follower that has had no answer for this long goes before the others. */
	maxSilenceMilliseconds: number;
};

export class AnswerOrder<Follower extends WeakKey, Query> {
	readonly #limits: AnswerLimits;
	readonly #answeredAt = new WeakMap<Follower, number>();
	readonly #waiting = new Map<Follower, Array<WaitingQuery<Query>>>();
	/** Queries that must be answered, in the order of their arrival. Those that were removed otherwise are skipped later. */
	#required: Array<{follower: Follower; entry: WaitingQuery<Query>}> = [];
	#size = 0;

	constructor(limits: AnswerLimits) {
		this.#limits = limits;
	}

	/** How many queries wait. */
	get size(): number {
		return this.#size;
	}

	/** Adds a query, which must be newer than the waiting ones of the same follower. */
	add(follower: Follower, entry: WaitingQuery<Query>): void {
		const queue = this.#waiting.get(follower);
		if (queue === undefined) {
			this.#waiting.set(follower, [entry]);
		} else {
			queue.push(entry);
		}

		if (!entry.mayDrop) {
			this.#required.push({follower, entry});
		}

		this.#size++;
	}

	/** Removes all queries of a follower, whose connection has ended. */
	remove(follower: Follower): void {
		this.#size -= this.#waiting.get(follower)?.length ?? 0;
		this.#waiting.delete(follower);
	}

	/**
	 * Takes the query that is answered or dropped next.
	 *
	 * @param now - Milliseconds of the steady clock.
	 * @returns The query, with its follower and whether it is dropped; `undefined` if none waits.
	 */
	take(now: number): WaitingQuery<Query> & {follower: Follower; isDropped: boolean} | undefined {
		const follower = this.#requiredFollower() ?? this.#newestFollower(now);
		const queue = follower === undefined ? undefined : this.#waiting.get(follower);
		const entry = queue?.shift();
		if (follower === undefined || queue === undefined || entry === undefined) {
			return undefined;
		}

		const isLast = queue.length === 0;
		if (isLast) {
			this.#waiting.delete(follower);
		}

		this.#size--;
		const isStale = now - entry.sentAt > this.#limits.maxAgeMilliseconds;
		const isDropped = entry.mayDrop && isStale && !(isLast && this.#isSilent(follower, now));
		if (!isDropped) {
			this.noteAnswer(follower, now);
		}

		return {...entry, follower, isDropped};
	}

	/** Records that a follower gets an answer without waiting here. */
	noteAnswer(follower: Follower, now: number): void {
		this.#answeredAt.set(follower, now);
	}

	#isSilent(follower: Follower, now: number): boolean {
		return now - (this.#answeredAt.get(follower) ?? Number.NEGATIVE_INFINITY) > this.#limits.maxSilenceMilliseconds;
	}

	/** The follower with the oldest query that must be answered. */
	#requiredFollower(): Follower | undefined {
		for (const [index, {follower, entry}] of this.#required.entries()) {
			if (this.#waiting.get(follower)?.includes(entry)) {
				this.#required = this.#required.slice(index);
				return follower;
			}
		}

		this.#required = [];
		return undefined;
	}

	/** The follower with the newest query, among those without an answer for long if there are any. */
	#newestFollower(now: number): Follower | undefined {
		let newest: Follower | undefined;
		let newestSentAt = Number.NEGATIVE_INFINITY;
		let isNewestSilent = false;
		for (const [follower, queue] of this.#waiting) {
			const {sentAt} = queue.at(-1)!;
			const isSilent = this.#isSilent(follower, now);
			if (isSilent === isNewestSilent ? sentAt > newestSentAt : isSilent) {
				newest = follower;
				newestSentAt = sentAt;
				isNewestSilent = isSilent;
			}
		}

		return newest;
	}
}
