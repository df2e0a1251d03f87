/** A sleep that ends early when there is something to do. */
import {type Clock} from '../ports/clock.js';

/** Without a reason, an aborted controller creates an error with its stack, which takes longer than the rest of a sleep. */
const interrupted = 'interrupted';

export class InterruptibleSleep {
	readonly #clock: Pick<Clock, 'sleep'>;
	#interruption: AbortController | undefined;
	/** Whether there was an interruption since the last sleep: without this, one that arrives just before a sleep would be lost. */
	#isInterrupted = false;

	constructor(clock: Pick<Clock, 'sleep'>) {
		this.#clock = clock;
	}

	/** Waits for this time, until it is interrupted, or until the signal is aborted. */
	async sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
		await this.#pause(signal, async interruption => this.#clock.sleep(milliseconds, interruption));
	}

	/** Waits until it is interrupted or the signal is aborted, without a timer. */
	async wait(signal: AbortSignal): Promise<void> {
		await this.#pause(signal, async interruption => new Promise<void>(resolve => {
			interruption.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		}));
	}

	/** Ends the present sleep; without one, the next sleep ends at once. */
	interrupt(): void {
		this.#isInterrupted = true;
		this.#interruption?.abort(interrupted);
	}

	async #pause(signal: AbortSignal, rest: (interruption: AbortSignal) => Promise<void>): Promise<void> {
		if (signal.aborted) {
			return;
		}

		if (!this.#isInterrupted) {
			const interruption = new AbortController();
			this.#interruption = interruption;
			const stop = (): void => {
				interruption.abort(interrupted);
			};

			signal.addEventListener('abort', stop, {once: true});
			await rest(interruption.signal);
			signal.removeEventListener('abort', stop);
			this.#interruption = undefined;
		}

		this.#isInterrupted = false;
	}
}
