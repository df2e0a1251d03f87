/**
 * Keeps the configuration of this instance up to date. Two readers in each data centre, chosen by rendezvous hashing, poll
 * the table service for changes after their version, and peers forward the changes. The other instances poll it at long
 * intervals, in case their peers forward nothing new.
 */
import {type Either} from 'purify-ts/Either';
import {PollSchedule} from '../../peer/configuration/poll-schedule.js';
import {readChangesAfter, maxChangesPerRead} from '../../protocol/configuration/configuration-table.js';
import {type TableFailure} from '../../ports/table-service.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const checkIntervalMilliseconds = 50;

/** The part of an entry that the watcher uses. */
export type ConfigurationWatcherContext = Pick<EntryContext, 'clock' | 'table' | 'configuration' | 'timeline'> & {
	settings: Pick<EntryContext['settings'], 'configurationPollMilliseconds'>;
	logger: {warn(message: string, detail: Record<string, unknown>): unknown};
};

/** Whether this instance is one of the readers of its data centre, and the random numbers that vary the poll schedule. */
export type ConfigurationReaders = Pick<EntryPeers, 'isReader' | 'random'>;

export class ConfigurationWatcher implements Child {
	readonly name = 'configuration-watcher';
	readonly #context: ConfigurationWatcherContext;
	readonly #peers: ConfigurationReaders;
	#isTableAvailable: boolean | undefined;

	constructor(context: ConfigurationWatcherContext, peers: ConfigurationReaders) {
		this.#context = context;
		this.#peers = peers;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, configuration} = this.#context;
		const schedule = new PollSchedule(settings.configurationPollMilliseconds, this.#peers.random);
		while (!signal.aborted) {
			const pollsOften = this.#peers.isReader || !configuration.startGate.isOpen;
			if (schedule.isDue(pollsOften, clock.now())) {
				const isAnswered = await this.pollOnce();
				schedule.notePoll(isAnswered, clock.now());
			}

			await clock.sleep(Math.min(checkIntervalMilliseconds, settings.configurationPollMilliseconds), signal);
		}
	}

	/**
	 * Reads all changes after this instance's version and brings them into force; returns false if the table service did not
	 * answer.
	 */
	async pollOnce(): Promise<boolean> {
		const {table, configuration, clock} = this.#context;
		for (;;) {
			const {version} = configuration.state;
			const changes = await readChangesAfter(table, version);
			this.#noteTable(changes);
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

	/** Records when the table service stops to answer, and when it answers again. */
	#noteTable(answer: Either<TableFailure, unknown>): void {
		const isAvailable = answer.isRight();
		if (isAvailable === this.#isTableAvailable) {
			return;
		}

		this.#isTableAvailable = isAvailable;
		const {timeline, clock} = this.#context;
		answer.ifLeft(failure => {
			timeline.record({kind: 'table-unavailable', at: clock.now(), detail: 'detail' in failure ? failure.detail : failure.kind});
		}).ifRight(() => {
			timeline.record({kind: 'table-available', at: clock.now()});
		});
	}

	#offer(changes: readonly ConfigurationChange[]): void {
		const {configuration, logger} = this.#context;
		for (const change of changes) {
			configuration.offer(change).ifLeft(failure => {
				if (failure.kind !== 'old') {
					logger.warn('a configuration change cannot be applied', {version: change.version, ...failure});
				}
			});
		}
	}
}
