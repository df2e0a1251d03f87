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
			const sleeper = {until: this.#now + milliseconds, wake: resolve};
			this.#sleepers.push(sleeper);
			signal.addEventListener('abort', () => {
				this.#sleepers = this.#sleepers.filter(other => other !== sleeper);
				resolve();
			}, {once: true});
		});
	}

	/** Moves time on and wakes whoever is due. */
	advance(milliseconds: number): void {
		this.#now += milliseconds;
		const due = this.#sleepers.filter(({until}) => until <= this.#now);
		this.#sleepers = this.#sleepers.filter(({until}) => until > this.#now);
		for (const {wake} of due) {
			wake();
		}
	}
}
