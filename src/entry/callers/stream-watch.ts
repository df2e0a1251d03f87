/**
 * Watches one stream for silence. An engine that hangs with its connection open sends neither tokens nor an error, and
 * without a time limit the caller waits for ever; a caller that stops reading holds a place in the engine's batch.
 */
import {type Clock} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/model-engine.js';

/** Who fell silent. */
export type StreamSilence = 'engine' | 'caller';

const checkMilliseconds = 500;

/** Between two tokens; far above the 28 ms of the target, so that a long prefill in the same batch is no silence. */
export const tokenSilenceMilliseconds = 10_000;

/** The same while the endpoint's load reports are missing as well: then the whole endpoint hangs, not one batch. */
export const unheardSilenceMilliseconds = 3000;

/** Before the first token, on top of the prefill that the endpoint has before it by its own report. */
export const firstTokenSilenceMilliseconds = 30_000;

/** A caller that took nothing for this long is gone, or will not keep up. */
export const callerSilenceMilliseconds = 60_000;

const prefillAllowance = 4;

export class StreamWatch {
	/** Who fell silent; absent while nobody did. */
	silent?: StreamSilence;
	readonly #clock: Clock;
	readonly #limit: () => number;
	#since: number;
	#waitsFor: StreamSilence = 'engine';

	/**
	 * @param clock - Time.
	 * @param engineLimit - How long the engine may be silent now, in milliseconds.
	 */
	constructor(clock: Clock, engineLimit: () => number) {
		this.#clock = clock;
		this.#limit = engineLimit;
		this.#since = clock.now();
	}

	/** Something moved, and the stream now waits for this side. */
	waitFor(side: StreamSilence): void {
		this.#waitsFor = side;
		this.#since = this.#clock.now();
	}

	/** Says, once, who has been silent for too long; `undefined` while nobody has. */
	look(now: number): StreamSilence | undefined {
		const limit = this.#waitsFor === 'caller' ? callerSilenceMilliseconds : this.#limit();
		if (this.silent !== undefined || now - this.#since < limit) {
			return undefined;
		}

		this.silent = this.#waitsFor;
		return this.silent;
	}
}

/** Looks at all streams of an instance in one loop; a timer for each stream cost more than the text of a short one. */
export class StreamWatches {
	readonly #clock: Clock;
	readonly #watched = new Map<StreamWatch, (silent: StreamSilence) => void>();
	readonly #neverAborted = new AbortController().signal;
	#isLooking = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Watches a stream until `remove`; `onSilent` is called at most once. */
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
 * Gives how long an endpoint may be silent before the first token.
 *
 * @param load - Its newest report, if any.
 * @param promptTokens - Tokens of this prompt.
 * @returns Milliseconds: a base, and several times the prefill that it has to do.
 */
export function firstTokenLimit(load: LoadReport | undefined, promptTokens: number): number {
	if (load === undefined) {
		return firstTokenSilenceMilliseconds;
	}

	const prefillSeconds = (load.waitingPrefillTokens + promptTokens) / Math.max(1, load.prefillTokensPerSecond);
	return firstTokenSilenceMilliseconds + (prefillAllowance * 1000 * prefillSeconds);
}
