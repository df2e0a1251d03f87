/**
 * Detects streams whose engine or caller is unresponsive. An engine that hangs with its connection open sends neither tokens
 * nor an error, so that without a timeout the caller waits forever. A caller that stops reading occupies a place in the
 * engine's batch.
 */
import {type Clock} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/model-engine.js';

/** The side of a stream that is waited for, or that became unresponsive. */
export type StreamSide = 'engine' | 'caller';

const checkIntervalMilliseconds = 500;

/** Timeout between two tokens. Far above the target of 28 ms, so that a long prefill in the same batch does not exceed it. */
export const tokenTimeoutMilliseconds = 10_000;

/** Timeout while the endpoint's load reports are missing as well: the whole endpoint hangs then, not just one batch. */
export const unresponsiveEndpointTimeoutMilliseconds = 3000;

/** Timeout before the first token, in addition to an allowance for the prefill that is pending by the endpoint's report. */
export const firstTokenTimeoutMilliseconds = 30_000;

/** Timeout of a caller that does not read: it has disconnected, or is too slow to keep up. */
export const callerTimeoutMilliseconds = 60_000;

const prefillAllowanceFactor = 4;

export class StreamWatchdog {
	/** The side that became unresponsive, if any. */
	unresponsiveSide?: StreamSide;
	readonly #clock: Clock;
	readonly #engineTimeout: () => number;
	#since: number;
	#waitsFor: StreamSide = 'engine';

	/**
	 * @param clock - The source of the current time.
	 * @param engineTimeout - Returns the current timeout for the engine, in milliseconds.
	 */
	constructor(clock: Clock, engineTimeout: () => number) {
		this.#clock = clock;
		this.#engineTimeout = engineTimeout;
		this.#since = clock.now();
	}

	/** Notes progress: the stream waits for this side from now on, and the timeout starts again. */
	waitFor(side: StreamSide): void {
		this.#waitsFor = side;
		this.#since = this.#clock.now();
	}

	/** Returns the side that has exceeded its timeout, once for each stream; otherwise `undefined`. */
	check(now: number): StreamSide | undefined {
		const limit = this.#waitsFor === 'caller' ? callerTimeoutMilliseconds : this.#engineTimeout();
		if (this.unresponsiveSide !== undefined || now - this.#since < limit) {
			return undefined;
		}

		this.unresponsiveSide = this.#waitsFor;
		return this.unresponsiveSide;
	}
}

/** Checks all streams of an instance in one loop. A timer for each stream cost more than relaying a short answer. */
export class StreamWatchdogs {
	readonly #clock: Clock;
	readonly #watched = new Map<StreamWatchdog, (side: StreamSide) => void>();
	readonly #neverAborted = new AbortController().signal;
	#isChecking = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Watches a stream until `remove`; the callback is called at most once, with the unresponsive side. */
	add(watchdog: StreamWatchdog, onUnresponsive: (side: StreamSide) => void): void {
		this.#watched.set(watchdog, onUnresponsive);
		if (!this.#isChecking) {
			this.#isChecking = true;
			void this.#checkAll();
		}
	}

	remove(watchdog: StreamWatchdog): void {
		this.#watched.delete(watchdog);
	}

	async #checkAll(): Promise<void> {
		while (this.#watched.size > 0) {
			await this.#clock.sleep(checkIntervalMilliseconds, this.#neverAborted);
			const now = this.#clock.now();
			for (const [watchdog, onUnresponsive] of this.#watched) {
				const side = watchdog.check(now);
				if (side !== undefined) {
					onUnresponsive(side);
				}
			}
		}

		this.#isChecking = false;
	}
}

/**
 * Calculates the timeout for the first token of an answer.
 *
 * @param load - The endpoint's newest load report, if any.
 * @param promptTokens - Tokens of this prompt.
 * @returns Milliseconds: a base, plus several times the estimated duration of the pending prefill.
 */
export function firstTokenTimeout(load: LoadReport | undefined, promptTokens: number): number {
	if (load === undefined) {
		return firstTokenTimeoutMilliseconds;
	}

	const prefillSeconds = (load.waitingPrefillTokens + promptTokens) / Math.max(1, load.prefillTokensPerSecond);
	return firstTokenTimeoutMilliseconds + (prefillAllowanceFactor * 1000 * prefillSeconds);
}
