/** A clock that stands still until a test moves it. */
import {type Clock} from '../ports/clock.js';

type Sleeper = {until: number; wake: () => void};

export class ManualClock implements Clock {
	#now: number;
	#sleepers: Sleeper[] = [];

	/** @param now - Where it starts, in milliseconds since the epoch. */
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

	/** Moves time on and wakes whoever is due. */
	advance(milliseconds: number): void {
		this.#now += milliseconds;
		const due = this.#sleepers.filter(({until}) => until <= this.#now);
		for (const {wake} of due) {
			wake();
		}
	}
}
