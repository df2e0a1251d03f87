/** Keeps this instance on the newest configuration by asking the table service for changes behind its own version. */
import {readChangesAfter, readLimitChanges} from '../../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';

/** The part of an entry that the watcher uses. */
export type ConfigurationWatcherContext = Pick<EntryContext, 'clock' | 'table' | 'configuration'> & {
	settings: Pick<EntryContext['settings'], 'configurationPollMilliseconds'>;
	logger: {warn(message: string, detail: Record<string, unknown>): unknown};
};

export class ConfigurationWatcher implements Child {
	readonly name = 'configuration-watcher';
	readonly #context: ConfigurationWatcherContext;

	constructor(context: ConfigurationWatcherContext) {
		this.#context = context;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		while (!signal.aborted) {
			await this.lookOnce();
			await clock.sleep(settings.configurationPollMilliseconds, signal);
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
