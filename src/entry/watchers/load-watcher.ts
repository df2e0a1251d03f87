/**
 * Reads the load reports of endpoints, both model engines and plain services, at intervals: of those that this instance
 * watches for its peers, and of those for which the peers have published nothing for too long. The last report of an
 * endpoint that does not answer becomes stale.
 */
import {type Child} from '../../supervisor/supervisor.js';
import {type CapacityFeed} from '../capacity-feed.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';
import {repeatJittered} from './repeat-jittered.js';

export class LoadWatcher implements Child {
	readonly name = 'load-watcher';
	readonly #context: EntryContext;
	readonly #peers: EntryPeers;
	readonly #feed: CapacityFeed;

	constructor(context: EntryContext, peers: EntryPeers, feed: CapacityFeed) {
		this.#context = context;
		this.#peers = peers;
		this.#feed = feed;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		const pace = {clock, milliseconds: settings.loadPollMilliseconds, random: this.#peers.random};
		await repeatJittered(pace, signal, async () => this.#askOnce());
	}

	async #askOnce(): Promise<void> {
		const {clock, endpoints, engine} = this.#context;
		const toAsk = this.#peers.endpointsToAsk();
		const watched = [...endpoints.engines(), ...endpoints.plainEndpoints()].filter(({name}) => toAsk.has(name));
		await Promise.all(watched.map(async ({name, address}) => {
			const report = await engine.loadReport(address);
			report.ifRight(load => {
				endpoints.takeReport(name, load, clock.now());
				this.#peers.takeReport(name, load);
			});
		}));
		this.#feed.takeReports();
	}
}
