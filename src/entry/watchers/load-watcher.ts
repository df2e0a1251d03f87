/**
 * Reads the load reports of endpoints, both model engines and plain services, at intervals: of those that this instance
 * watches for its peers, and of those for which the peers have published nothing for too long. The last report of an
 * endpoint that does not answer becomes stale.
 */
import {type Child} from '../../supervisor/supervisor.js';
import {type CapacityUpdater} from '../capacity-updater.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';
import {repeatJittered} from './repeat-jittered.js';

export class LoadWatcher implements Child {
	readonly name = 'load-watcher';
	readonly #context: EntryContext;
	readonly #peers: EntryPeers;
	readonly #capacityUpdater: CapacityUpdater;

	constructor(context: EntryContext, peers: EntryPeers, capacityUpdater: CapacityUpdater) {
		this.#context = context;
		this.#peers = peers;
		this.#capacityUpdater = capacityUpdater;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		const interval = {clock, milliseconds: settings.loadPollMilliseconds, random: this.#peers.random};
		await repeatJittered(interval, signal, async () => this.#pollOnce());
	}

	async #pollOnce(): Promise<void> {
		const {clock, endpoints, engine} = this.#context;
		const toPoll = this.#peers.endpointsToPoll();
		const watched = [...endpoints.engines(), ...endpoints.plainEndpoints()].filter(({name}) => toPoll.has(name));
		await Promise.all(watched.map(async ({name, address}) => {
			const report = await engine.loadReport(address);
			report.ifRight(load => {
				endpoints.applyReport(name, load, clock.now());
				this.#peers.handleReport(name, load);
			});
		}));
		this.#capacityUpdater.applyReports();
	}
}
