/**
 * Keeps this instance on the newest configuration. Two readers in each data centre, chosen by rendezvous hash, ask the
 * table service for changes behind their version and peers pass them on; the others ask the table seldom, in case that
 * all they hear from their peers is old.
 */
import {readChangesAfter, readLimitChanges} from '../../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const jitter = 0.2;

/** Time between two looks of an instance that is no reader: 760 of them are 76 reads a second of the table's 2,000. */
const seldomMilliseconds = 10_000;

/** The part of an entry that the watcher uses. */
export type ConfigurationWatcherContext = Pick<EntryContext, 'clock' | 'table' | 'configuration'> & {
	settings: Pick<EntryContext['settings'], 'configurationPollMilliseconds'>;
	logger: {warn(message: string, detail: Record<string, unknown>): unknown};
};

/** Tells whether this instance is one of its data centre's readers. */
export type ConfigurationReaders = Pick<EntryPeers, 'isReader' | 'random'>;

export class ConfigurationWatcher implements Child {
	readonly name = 'configuration-watcher';
	readonly #context: ConfigurationWatcherContext;
	readonly #peers: ConfigurationReaders;

	constructor(context: ConfigurationWatcherContext, peers: ConfigurationReaders) {
		this.#context = context;
		this.#peers = peers;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, configuration} = this.#context;
		let lookedAt = 0;
		while (!signal.aborted) {
			const looksOften = this.#peers.isReader || !configuration.startGate.isOpen;
			const interval = looksOften ? settings.configurationPollMilliseconds : seldomMilliseconds * (0.5 + this.#peers.random());
			if (clock.now() - lookedAt >= interval) {
				lookedAt = clock.now();
				await this.lookOnce();
			}

			// Jitter keeps readers that started together, or waited for the same outage to end, from asking in step.
			await clock.sleep(settings.configurationPollMilliseconds * (1 - (jitter * this.#peers.random())), signal);
		}
	}

	/** Reads the changes that are missing here and brings them into force, to the end of the table. */
	async lookOnce(): Promise<void> {
		const {table, configuration, clock} = this.#context;
		for (;;) {
			const {version} = configuration.state;
			const changes = await readChangesAfter(table, version);
			if (changes.isLeft()) {
				configuration.startGate.tableFailed(configuration.state.version, clock.now());
				return;
			}

			const found = changes.orDefault([]);
			this.#offer(found);
			if (found.length < readLimitChanges) {
				configuration.startGate.tableRead();
				return;
			}

			if (configuration.state.version === version) {
				return;
			}
		}
	}

	#offer(changes: readonly ConfigurationChange[]): void {
		const {configuration, logger} = this.#context;
		for (const change of changes) {
			configuration.offer(change).ifLeft(failure => {
				if (failure.kind !== 'old') {
					logger.warn('a configuration change does not follow', {version: change.version, ...failure});
				}
			});
		}
	}
}
