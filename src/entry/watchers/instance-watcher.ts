/** Reads the platform's list of instances again and again. When the list is away, the last one goes on being used. */
import {type ListedInstance} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {repeatJittered} from './repeat-jittered.js';

/** A part of the entry that learns from the list. */
export interface ListTaker {
	takeList(instances: readonly ListedInstance[]): void;
}

export class InstanceWatcher implements Child {
	readonly name = 'instance-watcher';
	readonly #context: EntryContext;
	readonly #takers: readonly ListTaker[];
	readonly #random: () => number;

	constructor(context: EntryContext, takers: readonly ListTaker[], random: () => number) {
		this.#context = context;
		this.#takers = takers;
		this.#random = random;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, list} = this.#context;
		const pace = {clock, milliseconds: settings.listPollMilliseconds, random: this.#random};
		await repeatJittered(pace, signal, async () => {
			const instances = await list.read();
			instances.ifRight(found => {
				this.#pass(found);
			});
		});
	}

	/** This instance stands on the list itself, so an empty list is a list not filled yet, and no news. */
	#pass(instances: readonly ListedInstance[]): void {
		if (instances.length === 0) {
			return;
		}

		for (const taker of this.#takers) {
			taker.takeList(instances);
		}
	}
}
