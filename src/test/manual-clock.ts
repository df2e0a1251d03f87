/** A clock that changes only when a test advances it. */
import {type Clock} from '../ports/clock.js';

type Sleeper = {until: number; wake: () => void};

export class ManualClock implements Clock {
	#now: number;
	#sleepers: Sleeper[] = [];

	/** @param now - Its first time, in milliseconds since the epoch. */
	constructor(now: number) {
		this.#now = now;
	}

	now(): number {
		return this.#now;
	}

	async sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				this.#sleepers = this.#sleepers.filter(({wake}) => wake !== end);
				signal.removeEventListener('abort', end);
				resolve();
			};

			this.#sleepers.push({until: this.#now + milliseconds, wake: end});
			signal.addEventListener('abort', end, {once: true});
		});
	}

	/** Advances the time and ends all sleeps that are due. */
	advance(milliseconds: number): void {
		this.#now += milliseconds;
		const due = this.#sleepers.filter(({until}) => until <= this.#now);
		for (const {wake} of due) {
			wake();
		}
	}
}
