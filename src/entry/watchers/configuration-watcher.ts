/** Keeps this instance on the newest configuration by asking the table service for changes behind its own version. */
import {readChangesAfter} from '../../protocol/configuration/configuration-table.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';

export class ConfigurationWatcher implements Child {
	readonly name = 'configuration-watcher';
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		while (!signal.aborted) {
			await this.lookOnce();
			await clock.sleep(settings.configurationPollMilliseconds, signal);
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
