/** Reads the platform's list of instances again and again. When the list is away, the last one goes on being used. */
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';

export class InstanceWatcher implements Child {
	readonly name = 'instance-watcher';
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, list, endpoints} = this.#context;
		while (!signal.aborted) {
			const instances = await list.read();
			instances.ifRight(found => {
				endpoints.takeList(found);
			});
			await clock.sleep(settings.listPollMilliseconds, signal);
		}
	}
}
