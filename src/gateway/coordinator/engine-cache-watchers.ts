/** The coordinator's watchers of all engines: one for each incarnation that is in the list. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {EngineCacheWatcher, type EngineCacheWatcherDependencies} from './engine-cache-watcher.js';

/** Minimum interval between calls for events, over all engines together. */
const pausePerEngineMilliseconds = 6;

type WatchedEngine = {watcher: EngineCacheWatcher; stop: AbortController; engine: EndpointRecord};

export class EngineCacheWatchers {
	readonly #dependencies: EngineCacheWatcherDependencies;
	readonly #log: DecisionLog;
	readonly #watched = new Map<string, WatchedEngine>();

	constructor(dependencies: EngineCacheWatcherDependencies, log: DecisionLog) {
		this.#dependencies = dependencies;
		this.#log = log;
	}

	/** Watches these engines and no others. */
	watch(engines: readonly EndpointRecord[]): void {
		const wanted = new Map(engines.map(engine => [engine.name, engine]));
		for (const [name, {engine}] of this.#watched) {
			if (wanted.get(name)?.startedAt !== engine.startedAt) {
				this.#end(name);
			}
		}

		for (const engine of engines) {
			if (!this.#watched.has(engine.name)) {
				this.#start(engine);
			}
		}
	}

	/** Stops all watchers. */
	close(): void {
		for (const name of this.#watched.keys()) {
			this.#end(name);
		}
	}

	/** Whether the known blocks of an engine are up to date. */
	isUpToDate(engine: string): boolean {
		return this.#watched.get(engine)?.watcher.isUpToDate ?? false;
	}

	/** The engines' clock in milliseconds, if any engine has reported it. */
	engineClock(): number | undefined {
		for (const {watcher} of this.#watched.values()) {
			const clock = watcher.engineClock;
			if (clock !== undefined) {
				return clock;
			}
		}

		return undefined;
	}

	#start(engine: EndpointRecord): void {
		const stop = new AbortController();
		const dependencies: EngineCacheWatcherDependencies = {
			...this.#dependencies,
			minPauseMilliseconds: () => pausePerEngineMilliseconds * this.#watched.size,
			publish: (name, change) => {
				// A call may be in flight when the watcher stops; its events belong to an incarnation that has departed.
				if (!stop.signal.aborted) {
					this.#dependencies.publish(name, change);
				}
			},
		};
		const watched: WatchedEngine = {watcher: new EngineCacheWatcher(engine, dependencies), stop, engine};
		this.#watched.set(engine.name, watched);
		void this.#run(watched);
	}

	/** Removes a watcher that fails; the next call of `watch` starts a new one. */
	async #run(watched: WatchedEngine): Promise<void> {
		const {watcher, stop, engine} = watched;
		try {
			await watcher.run(stop.signal);
		} catch (error) {
			this.#log.record('fault', {child: `engine-watch ${engine.name}`, error: String(error)});
			if (this.#watched.get(engine.name) === watched) {
				this.#end(engine.name);
			}
		}
	}

	#end(name: string): void {
		const watched = this.#watched.get(name);
		this.#watched.delete(name);
		watched?.stop.abort();
		this.#dependencies.publish(name, {added: [], removed: watched?.watcher.blocks().map(([key]) => key) ?? []});
	}
}
