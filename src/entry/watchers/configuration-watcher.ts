/**
 * Keeps this instance on the newest configuration. Two readers in each data centre, chosen by rendezvous hash, ask the
 * table service for changes behind their version and peers pass them on; the others ask the table seldom, in case that
 * all they hear from their peers is old.
 */
import {LookSchedule} from '../../peer/configuration/look-schedule.js';
import {readChangesAfter} from '../../protocol/configuration/configuration-table.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const checkMilliseconds = 50;

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
		const schedule = new LookSchedule(settings.configurationPollMilliseconds, this.#peers.random);
		while (!signal.aborted) {
			if (schedule.isDue(this.#peers.isReader, clock.now())) {
				const isAnswered = await this.lookOnce();
				schedule.looked(isAnswered, clock.now());
			}

			await clock.sleep(Math.min(checkMilliseconds, settings.configurationPollMilliseconds), signal);
		}
	}

	/** Reads the changes that are missing here and brings them into force; false if the table did not answer. */
	async lookOnce(): Promise<boolean> {
		const {table, configuration, logger} = this.#context;
		const changes = await readChangesAfter(table, configuration.state.version);
		changes.ifRight(found => {
			for (const change of found) {
				configuration.offer(change).ifLeft(failure => {
					logger.warn('a configuration change does not follow', {version: change.version, ...failure});
				});
			}
		});
		return changes.isRight();
	}
}
