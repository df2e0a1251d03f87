/** Reads the platform's list of instances again and again. When the list is away, the last one goes on being used. */
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const jitter = 0.2;

export class InstanceWatcher implements Child {
	readonly name = 'instance-watcher';
	readonly #context: EntryContext;
	readonly #peers: EntryPeers;

	constructor(context: EntryContext, peers: EntryPeers) {
		this.#context = context;
		this.#peers = peers;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, list, endpoints} = this.#context;
		while (!signal.aborted) {
			const instances = await list.read();
			instances.ifRight(found => {
				// This instance stands on the list itself, so an empty list is a list not filled yet, and no news.
				if (found.length > 0) {
					endpoints.takeList(found);
					this.#peers.takeList(found);
				}
			});
			await clock.sleep(settings.listPollMilliseconds * (1 - (jitter * this.#peers.random())), signal);
		}
	}
}
