/**
 * One timer for all who wait at an instance. Each looks after its wait whether it has something to do, so a wait may end early:
 * all of them end at the nearest moment at which one is due, and their next ones begin together.
 */
import {type MomentClock} from '../../ports/moment-clock.js';

/** Without a reason, an aborted controller creates an error with its stack, which takes longer than the rest of a wait. */
const cancelled = 'cancelled';

export class SharedWait {
	readonly #clock: MomentClock;
	readonly #waiting = new Set<() => void>();
	/** The present timer, and when it ends all waits, in milliseconds of the steady clock. */
	#timer: {at: number; cancel: AbortController} | undefined;

	constructor(clock: MomentClock) {
		this.#clock = clock;
	}

	/**
	 * Waits for a time, or less.
	 *
	 * @param milliseconds - The longest wait.
	 * @param signal - Ends this wait, and no other.
	 */
	async wait(milliseconds: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				this.#waiting.delete(end);
				signal.removeEventListener('abort', end);
				if (this.#waiting.size === 0) {
					this.#timer?.cancel.abort(cancelled);
					this.#timer = undefined;
				}

				resolve();
			};

			this.#waiting.add(end);
			signal.addEventListener('abort', end);
			this.#startTimer(milliseconds);
		});
	}

	/** Ends all present waits. */
	end(): void {
		for (const end of this.#waiting) {
			end();
		}
	}

	#startTimer(milliseconds: number): void {
		const at = this.#clock.moment().steady + milliseconds;
		if (this.#timer !== undefined && this.#timer.at <= at) {
			return;
		}

		this.#timer?.cancel.abort(cancelled);
		const timer = {at, cancel: new AbortController()};
		this.#timer = timer;
		void this.#endAfter(milliseconds, timer);
	}

	async #endAfter(milliseconds: number, timer: {cancel: AbortController}): Promise<void> {
		await this.#clock.sleep(milliseconds, timer.cancel.signal);
		if (this.#timer === timer) {
			this.end();
		}
	}
}
