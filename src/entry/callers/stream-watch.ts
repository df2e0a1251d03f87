/**
 * Detects streams whose engine or caller is unresponsive. An engine that hangs with its connection open sends neither tokens
 * nor an error, so that without a timeout the caller waits forever. A caller that stops reading occupies a place in the
 * engine's batch.
 */
import {type Clock} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/model-engine.js';

/** The side of a stream that is waited for, or that became unresponsive. */
export type StreamSilence = 'engine' | 'caller';

const checkMilliseconds = 500;

/** Timeout between two tokens. Far above the target of 28 ms, so that a long prefill in the same batch does not exceed it. */
export const tokenSilenceMilliseconds = 10_000;

/** Timeout while the endpoint's load reports are missing as well: the whole endpoint hangs then, not just one batch. */
export const unheardSilenceMilliseconds = 3000;

/** Timeout before the first token, in addition to an allowance for the prefill that is pending by the endpoint's report. */
export const firstTokenSilenceMilliseconds = 30_000;

/** Timeout of a caller that does not read: it has disconnected, or is too slow to keep up. */
export const callerSilenceMilliseconds = 60_000;

const prefillAllowance = 4;

export class StreamWatch {
	/** The side that became unresponsive, if any. */
	silent?: StreamSilence;
	readonly #clock: Clock;
	readonly #limit: () => number;
	#since: number;
	#waitsFor: StreamSilence = 'engine';

	/**
	 * @param clock - The source of the current time.
	 * @param engineLimit - Returns the current timeout for the engine, in milliseconds.
	 */
	constructor(clock: Clock, engineLimit: () => number) {
		this.#clock = clock;
		this.#limit = engineLimit;
		this.#since = clock.now();
	}

	/** Notes progress: the stream waits for this side from now on, and the timeout starts again. */
	waitFor(side: StreamSilence): void {
		this.#waitsFor = side;
		this.#since = this.#clock.now();
	}

	/** Returns the side that has exceeded its timeout, once for each stream; otherwise `undefined`. */
	look(now: number): StreamSilence | undefined {
		const limit = this.#waitsFor === 'caller' ? callerSilenceMilliseconds : this.#limit();
		if (this.silent !== undefined || now - this.#since < limit) {
			return undefined;
		}

		this.silent = this.#waitsFor;
		return this.silent;
	}
}

/** Checks all streams of an instance in one loop. A timer for each stream cost more than relaying a short answer. */
export class StreamWatches {
	readonly #clock: Clock;
	readonly #watched = new Map<StreamWatch, (silent: StreamSilence) => void>();
	readonly #neverAborted = new AbortController().signal;
	#isLooking = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Watches a stream until `remove`; the callback is called at most once, with the unresponsive side. */
	add(watch: StreamWatch, onSilent: (silent: StreamSilence) => void): void {
		this.#watched.set(watch, onSilent);
		if (!this.#isLooking) {
			this.#isLooking = true;
			void this.#look();
		}
	}

	remove(watch: StreamWatch): void {
		this.#watched.delete(watch);
	}

	async #look(): Promise<void> {
		while (this.#watched.size > 0) {
			await this.#clock.sleep(checkMilliseconds, this.#neverAborted);
			const now = this.#clock.now();
			for (const [watch, onSilent] of this.#watched) {
				const silent = watch.look(now);
				if (silent !== undefined) {
					onSilent(silent);
				}
			}
		}

		this.#isLooking = false;
	}
}

/**
 * Calculates the timeout for the first token of an answer.
 *
 * @param load - The endpoint's newest load report, if any.
 * @param promptTokens - Tokens of this prompt.
 * @returns Milliseconds: a base, plus several times the estimated duration of the pending prefill.
 */
export function firstTokenLimit(load: LoadReport | undefined, promptTokens: number): number {
	if (load === undefined) {
		return firstTokenSilenceMilliseconds;
	}

	const prefillSeconds = (load.waitingPrefillTokens + promptTokens) / Math.max(1, load.prefillTokensPerSecond);
	return firstTokenSilenceMilliseconds + (prefillAllowance * 1000 * prefillSeconds);
}
