/**
 * Keeps this instance on the newest configuration. Two readers in each data centre, chosen by rendezvous hash, ask the
 * table service for changes behind their version and peers pass them on; the others ask the table seldom, in case that
 * all they hear from their peers is old.
 */
import {PollSchedule} from '../../peer/configuration/poll-schedule.js';
import {readChangesAfter, maxChangesPerRead} from '../../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const checkMilliseconds = 50;

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
		const schedule = new PollSchedule(settings.configurationPollMilliseconds, this.#peers.random);
		while (!signal.aborted) {
			const looksOften = this.#peers.isReader || !configuration.startGate.isOpen;
			if (schedule.isDue(looksOften, clock.now())) {
				const isAnswered = await this.lookOnce();
				schedule.notePoll(isAnswered, clock.now());
			}

			await clock.sleep(Math.min(checkMilliseconds, settings.configurationPollMilliseconds), signal);
		}
	}

	/**
	 * Reads the changes that are missing here and brings them into force, to the end of the table; false if it
	 * did not answer.
	 */
	async lookOnce(): Promise<boolean> {
		const {table, configuration, clock} = this.#context;
		for (;;) {
			const {version} = configuration.state;
			const changes = await readChangesAfter(table, version);
			if (changes.isLeft()) {
				configuration.startGate.tableFailed(configuration.state.version, clock.now());
				return false;
			}

			const found = changes.orDefault([]);
			this.#offer(found);
			if (found.length < maxChangesPerRead) {
				configuration.startGate.tableRead();
				return true;
			}

			if (configuration.state.version === version) {
				return true;
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
