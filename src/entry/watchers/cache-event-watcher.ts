/** Reads the cache events of all engines at intervals. */
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {type CacheEventReader} from '../cache/cache-event-reader.js';
import {repeatJittered} from './repeat-jittered.js';

const pollIntervalMilliseconds = 2000;

export class CacheEventWatcher implements Child {
	readonly name = 'cache-event-watcher';
	readonly #context: EntryContext;
	readonly #reader: CacheEventReader;
	readonly #random: () => number;

	constructor(context: EntryContext, reader: CacheEventReader, random: () => number) {
		this.#context = context;
		this.#reader = reader;
		this.#random = random;
	}

	async run(signal: AbortSignal): Promise<void> {
		const interval = {clock: this.#context.clock, milliseconds: pollIntervalMilliseconds, random: this.#random};
		await repeatJittered(interval, signal, async () => this.#reader.readAll());
	}
}
