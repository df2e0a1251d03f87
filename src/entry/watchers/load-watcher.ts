/**
 * Asks endpoints, model engines and plain services alike, for their load again and again: those that this instance watches for its peers, and those of
 * which the peers told nothing for too long. An endpoint that does not answer ages by itself.
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
