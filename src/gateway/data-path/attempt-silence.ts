/**
 * Measures how long an endpoint is silent during one attempt, for logs and metrics: a request that was answered late or elsewhere
 * does not show otherwise that its endpoint stood still, and whether it went on.
 */

/**
 * How a silence ended.
 *
 * - `went-on`: the endpoint sent the next bytes.
 * - `replaced`: another endpoint had sent the first bytes of a body.
 * - `ended`: the attempt ended for another reason.
 */
export type SilenceEnd = 'went-on' | 'replaced' | 'ended';

export class AttemptSilence {
	readonly #count: (end: SilenceEnd) => void;
	#lastByteAt = 0;
	#isSilent = false;
	#longest = 0;

	/** @param count - Called once for each silence, when it ends. */
	constructor(count: (end: SilenceEnd) => void) {
		this.#count = count;
	}

	/** The longest silence so far in whole milliseconds; `undefined` if there was none. */
	get longestMilliseconds(): number | undefined {
		return this.#longest === 0 ? undefined : Math.round(this.#longest);
	}

	/** Records that the request was sent, or that bytes of its answer arrived, at a time of the steady clock in milliseconds. */
	noteBytes(now: number): void {
		this.#end('went-on', now);
		this.#lastByteAt = now;
	}

	/** Records that the endpoint is found to be silent. */
	noteSilent(): void {
		this.#isSilent = true;
	}

	/** Records the end of the attempt. */
	noteEnded(isReplaced: boolean, now: number): void {
		this.#end(isReplaced ? 'replaced' : 'ended', now);
	}

	#end(end: SilenceEnd, now: number): void {
		if (this.#isSilent) {
			this.#isSilent = false;
			this.#longest = Math.max(this.#longest, now - this.#lastByteAt);
			this.#count(end);
		}
	}
}
