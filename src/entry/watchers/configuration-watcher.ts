/**
 * Keeps this instance on the newest configuration. Two readers in each data centre, chosen by rendezvous hash, ask the
 * table service for changes behind their version and peers pass them on; the others ask the table seldom, in case that
 * all they hear from their peers is old.
 */
import {readChangesAfter} from '../../protocol/configuration/configuration-table.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const jitter = 0.2;

/** Time between two looks of an instance that is no reader: 760 of them are 76 reads a second of the table's 2,000. */
const seldomMilliseconds = 10_000;

export class ConfigurationWatcher implements Child {
	readonly name = 'configuration-watcher';
	readonly #context: EntryContext;
	readonly #peers: EntryPeers;

	constructor(context: EntryContext, peers: EntryPeers) {
		this.#context = context;
		this.#peers = peers;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		let lookedAt = 0;
		while (!signal.aborted) {
			const interval = this.#peers.isReader ? settings.configurationPollMilliseconds : seldomMilliseconds * (0.5 + this.#peers.random());
			if (clock.now() - lookedAt >= interval) {
				lookedAt = clock.now();
				await this.lookOnce();
			}

			// Jitter keeps readers that started together, or waited for the same outage to end, from asking in step.
			await clock.sleep(settings.configurationPollMilliseconds * (1 - (jitter * this.#peers.random())), signal);
		}
	}

	/** Reads the changes that are missing here and brings them into force. */
	async lookOnce(): Promise<void> {
		const {table, configuration, logger} = this.#context;
		const changes = await readChangesAfter(table, configuration.state.version);
		changes.ifRight(found => {
			for (const change of found) {
				configuration.offer(change).ifLeft(failure => {
					logger.warn('a configuration change does not follow', {version: change.version, ...failure});
				});
			}
		});
	}
}
