/**
 * Measures for how long the event loop has not looked for I/O.
 *
 * A process that was paused, or that is short of processor time, acts on requests that have waited in their sockets. Their
 * callers may have left meanwhile, and the close of a connection is read after the request before it. Whoever acts on a
 * request can tell from the lag whether to look first.
 */
const tickMilliseconds = 100;
/** What waited during a lag is read within this time after it: connections are accepted first, then read. */
const rememberedMilliseconds = 1000;

export class EventLoopLag {
	readonly #now: () => number;
	readonly #report: (lagMilliseconds: number) => void;
	#tickedAt: number;
	#longest = {lag: 0, at: Number.NEGATIVE_INFINITY};
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param now - Gives milliseconds of a steady clock.
	 * @param report - Told the lag of each tick.
	 */
	constructor(now: () => number, report: (lagMilliseconds: number) => void) {
		this.#now = now;
		this.#report = report;
		this.#tickedAt = now();
	}

	/** Begins to measure; holds no process that is done otherwise. */
	start(): void {
		this.#tickedAt = this.#now();
		this.#timer = setInterval(() => {
			this.#tick(this.#now());
		}, tickMilliseconds).unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** The lag with which something that is read now may be read, in milliseconds. */
	get current(): number {
		return this.at(this.#now());
	}

	/**
	 * Gives the lag with which something that is read now may be read.
	 *
	 * @param now - Milliseconds of the steady clock.
	 * @returns Milliseconds: the time since the last tick was due, or the longest lag of the last second.
	 */
	at(now: number): number {
		return Math.max(now - this.#longest.at <= rememberedMilliseconds ? this.#longest.lag : 0, this.#lateness(now));
	}

	#tick(now: number): void {
		const lag = this.#lateness(now);
		this.#tickedAt = now;
		if (lag >= this.#longest.lag || now - this.#longest.at > rememberedMilliseconds) {
			this.#longest = {lag, at: now};
		}

		this.#report(lag);
	}

	#lateness(now: number): number {
		return Math.max(0, now - this.#tickedAt - tickMilliseconds);
	}
}
