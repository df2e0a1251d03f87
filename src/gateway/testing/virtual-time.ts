/** A clock that a test advances, and that counts the timers that were started. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type MomentClock} from '../../ports/moment-clock.js';
import {ManualClock} from '../../test/manual-clock.js';

const stepMilliseconds = 10;

export class VirtualTime {
	/** Timers that were started so far. */
	sleeps = 0;
	/** By how much the wall clock has advanced more than the steady one, as while a machine is suspended. */
	suspendedMilliseconds = 0;
	readonly clock: MomentClock;
	readonly #manual = new ManualClock(0);

	constructor() {
		this.clock = {
			moment: () => ({steady: this.now, wall: this.now + this.suspendedMilliseconds}),
			sleep: async (milliseconds, signal) => {
				this.sleeps++;
				await this.#manual.sleep(milliseconds, signal);
			},
		};
	}

	get now(): number {
		return this.#manual.now();
	}

	/** Lets this time pass in small steps, and all code run that waited for it. */
	async pass(milliseconds: number): Promise<void> {
		for (const end = this.now + milliseconds; this.now < end;) {
			this.#manual.advance(Math.min(stepMilliseconds, end - this.now));
			await nextTurn();
			await nextTurn();
		}
	}

	/** Lets this time pass at once, as for a process that was paused. */
	async pause(milliseconds: number): Promise<void> {
		this.#manual.advance(milliseconds);
		await nextTurn();
		await nextTurn();
	}

	/** Lets all code run that waits for nothing. */
	async settle(): Promise<void> {
		await nextTurn();
		await nextTurn();
	}
}
