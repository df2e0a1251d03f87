/** Reads the platform's instance list at intervals. While the list is unavailable, the last one stays in use. */
import {type ListedInstance} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {repeatJittered} from './repeat-jittered.js';

/** A component of the entry that receives the instance list. */
export interface InstanceListListener {
	applyList(instances: readonly ListedInstance[]): void;
}

export class InstanceWatcher implements Child {
	readonly name = 'instance-watcher';
	readonly #context: EntryContext;
	readonly #listeners: readonly InstanceListListener[];
	readonly #random: () => number;

	constructor(context: EntryContext, listeners: readonly InstanceListListener[], random: () => number) {
		this.#context = context;
		this.#listeners = listeners;
		this.#random = random;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, list} = this.#context;
		const interval = {clock, milliseconds: settings.listPollMilliseconds, random: this.#random};
		await repeatJittered(interval, signal, async () => {
			const instances = await list.read();
			instances.ifRight(found => {
				this.#notify(found);
			});
		});
	}

	/** Passes the list to all listeners. An empty list is not complete, since it lacks this instance itself, and is ignored. */
	#notify(instances: readonly ListedInstance[]): void {
		if (instances.length === 0) {
			return;
		}

		for (const listener of this.#listeners) {
			listener.applyList(instances);
		}
	}
}
