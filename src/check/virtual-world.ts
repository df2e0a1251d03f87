/**
 * A deterministic simulation in virtual time for fault runs. Events run in the order of their time, and code that waits
 * for a promise continues before the next event. Simulated processes can pause or be killed; promises that a killed
 * process waits for are never resolved.
 */
import {setImmediate as afterPromises} from 'node:timers/promises';
import {type Clock} from '../ports/clock.js';
import {type Choices} from './choices.js';

const eventLimit = 20_000;

type Happening = {at: number; order: number; happen: () => void};

/** One process of a run. */
export type VirtualProcess = {
	readonly name: string;
	killed: boolean;
	/** Cut off from the platform. */
	isCutOff: boolean;
	/** The total time of its pauses, in milliseconds. */
	pausedMilliseconds: number;
};

/** Creates a process without faults. */
export function virtualProcess(name: string): VirtualProcess {
	return {
		name, killed: false, isCutOff: false, pausedMilliseconds: 0,
	};
}

export class VirtualWorld {
	readonly trace: string[] = [];
	readonly violations: string[] = [];
	readonly choices: Choices;
	now = 1_000_000;
	#order = 0;
	readonly #queue: Happening[] = [];

	constructor(choices: Choices) {
		this.choices = choices;
	}

	note(text: string): void {
		this.trace.push(`${String(this.now - 1_000_000).padStart(7)} ms  ${text}`);
	}

	/** Reports that the system violated one of its guarantees. */
	violate(text: string): void {
		this.violations.push(text);
		this.note(`VIOLATION: ${text}`);
	}

	/** Schedules a callback after a delay in virtual milliseconds. */
	after(milliseconds: number, happen: () => void): void {
		this.#queue.push({at: this.now + milliseconds, order: this.#order++, happen});
	}

	async delay(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			this.after(milliseconds, resolve);
		});
	}

	/** A point at which a process can pause or stop: at random it pauses, and it never resolves for a killed process. */
	async step(process: VirtualProcess): Promise<void> {
		if (this.choices.chance(3)) {
			const milliseconds = this.choices.between(10, 60_000);
			process.pausedMilliseconds += milliseconds;
			this.note(`${process.name} pauses for ${milliseconds} ms`);
			await this.delay(milliseconds);
		}

		if (process.killed) {
			await new Promise<never>(() => {
				// A killed process never continues.
			});
		}
	}

	clockOf(process: VirtualProcess): Clock {
		return {
			now: () => this.now,
			sleep: async milliseconds => {
				await this.delay(milliseconds);
				await this.step(process);
			},
		};
	}

	/** Runs all scheduled events, including those that are scheduled during the run. */
	async run(): Promise<void> {
		await afterPromises();
		for (let count = 0; this.#queue.length > 0; count++) {
			if (count > eventLimit) {
				this.violate('the run does not end: too many events');
				return;
			}

			const next = this.#takeNext();
			this.now = next.at;
			next.happen();
			await afterPromises();
		}
	}

	#takeNext(): Happening {
		let earliest = 0;
		for (const [index, happening] of this.#queue.entries()) {
			const known = this.#queue[earliest]!;
			earliest = happening.at < known.at || (happening.at === known.at && happening.order < known.order) ? index : earliest;
		}

		return this.#queue.splice(earliest, 1)[0]!;
	}
}
