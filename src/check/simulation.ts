/**
 * A deterministic simulation in virtual time for fault runs. Events run in the order of their time, and code that waits
 * for a promise continues before the next event. Simulated processes can pause or be killed; promises that a killed
 * process waits for are never resolved.
 */
import {setImmediate as afterPromises} from 'node:timers/promises';
import {type Clock} from '../ports/clock.js';
import {type Choices} from './choices.js';

const maxEvents = 20_000;

type ScheduledEvent = {at: number; order: number; callback: () => void};

/** One process of a run. */
export type SimulatedProcess = {
	readonly name: string;
	isKilled: boolean;
	/** Cut off from the platform. */
	isCutOff: boolean;
	/** The total time of its pauses, in milliseconds. */
	pausedMilliseconds: number;
};

/** Creates a process without faults. */
export function createProcess(name: string): SimulatedProcess {
	return {
		name, isKilled: false, isCutOff: false, pausedMilliseconds: 0,
	};
}

export class FaultSimulation {
	readonly trace: string[] = [];
	readonly violations: string[] = [];
	readonly choices: Choices;
	now = 1_000_000;
	#scheduledCount = 0;
	readonly #queue: ScheduledEvent[] = [];

	constructor(choices: Choices) {
		this.choices = choices;
	}

	log(text: string): void {
		this.trace.push(`${String(this.now - 1_000_000).padStart(7)} ms  ${text}`);
	}

	/** Reports that the system violated one of its guarantees. */
	reportViolation(text: string): void {
		this.violations.push(text);
		this.log(`VIOLATION: ${text}`);
	}

	/** Schedules a callback after a delay in virtual milliseconds. */
	schedule(milliseconds: number, callback: () => void): void {
		this.#queue.push({at: this.now + milliseconds, order: this.#scheduledCount++, callback});
	}

	async delay(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			this.schedule(milliseconds, resolve);
		});
	}

	/** A point at which a process can pause or stop: at random it pauses, and it never resolves for a killed process. */
	async pauseOrStop(process: SimulatedProcess): Promise<void> {
		if (this.choices.chance(3)) {
			const milliseconds = this.choices.between(10, 60_000);
			process.pausedMilliseconds += milliseconds;
			this.log(`${process.name} pauses for ${milliseconds} ms`);
			await this.delay(milliseconds);
		}

		if (process.isKilled) {
			await new Promise<never>(() => {
				// A killed process never continues.
			});
		}
	}

	clockOf(process: SimulatedProcess): Clock {
		return {
			now: () => this.now,
			sleep: async milliseconds => {
				await this.delay(milliseconds);
				await this.pauseOrStop(process);
			},
		};
	}

	/** Runs all scheduled events, including those that are scheduled during the run. */
	async run(): Promise<void> {
		await afterPromises();
		for (let count = 0; this.#queue.length > 0; count++) {
			if (count > maxEvents) {
				this.reportViolation('the run does not end: too many events');
				return;
			}

			const next = this.#takeEarliest();
			this.now = next.at;
			next.callback();
			await afterPromises();
		}
	}

	#takeEarliest(): ScheduledEvent {
		let earliest = 0;
		for (const [index, event] of this.#queue.entries()) {
			const known = this.#queue[earliest]!;
			earliest = event.at < known.at || (event.at === known.at && event.order < known.order) ? index : earliest;
		}

		return this.#queue.splice(earliest, 1)[0]!;
	}
}
