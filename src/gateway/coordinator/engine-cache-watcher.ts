/**
 * Follows the cached blocks of one engine, by its events.
 *
 * They are a hint for placement, unlike the blocks of stores: an engine drops blocks by itself and computes again what it lost,
 * so a wrong entry costs one prefill. So the engine is never listed, which would stall its work: the events that it still has
 * are applied as they are, and where some are missing, the blocks known before are forgotten.
 */
import {type CacheStoreControl, type StoreEvents} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {blockKey} from '../../protocol/blocks/block-key.js';
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {EngineClock} from './engine-clock.js';

/** How long a call for events may wait; events are returned at once. */
const eventWaitMilliseconds = 900;
/** Pause after events, so that those of a burst are published together: a block is reused no sooner than it is computed. */
const batchMilliseconds = 150;
/** Pause after a failed call. */
const retryMilliseconds = 500;

/** Dependencies of a watcher. */
export type EngineCacheWatcherDependencies = {
	control: Pick<CacheStoreControl, 'events'>;
	clock: MomentClock;
	/** Minimum pause after events, in milliseconds; the usual pause applies where it is longer. */
	minPauseMilliseconds?: () => number;
	publish(engine: string, change: BlockChanges): void;
};

export class EngineCacheWatcher {
	readonly #engine: EndpointRecord;
	readonly #dependencies: EngineCacheWatcherDependencies;
	readonly #blocks = new Map<string, number>();
	readonly #engineClock = new EngineClock();
	#epoch: number | undefined;
	#since = 0;

	constructor(engine: EndpointRecord, dependencies: EngineCacheWatcherDependencies) {
		this.#engine = engine;
		this.#dependencies = dependencies;
	}

	/** Whether the last call succeeded, so that the engine's events are known up to then. */
	get isUpToDate(): boolean {
		return this.#epoch !== undefined;
	}

	/** The engines' clock by this engine's last answer, in milliseconds. */
	get engineClock(): number | undefined {
		return this.#engineClock.at(this.#dependencies.clock.moment().steady);
	}

	/** All blocks that the engine is known to hold. */
	blocks(): Array<[key: string, tokens: number]> {
		return [...this.#blocks];
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const pause = await this.step();
			await this.#dependencies.clock.sleep(pause, signal);
		}
	}

	/** Makes the next call; returns the pause after it in milliseconds. */
	async step(): Promise<number> {
		const answer = await this.#dependencies.control.events(this.#engine.address, this.#since, eventWaitMilliseconds);
		return answer.caseOf({
			Left: () => {
				this.#reset();
				return retryMilliseconds;
			},
			Right: events => {
				this.#applyEvents(events);
				return Math.max(batchMilliseconds, this.#dependencies.minPauseMilliseconds?.() ?? 0);
			},
		});
	}

	#applyEvents(events: StoreEvents): void {
		this.#engineClock.record(events.clockMilliseconds, this.#dependencies.clock.moment().steady);
		const hasRestarted = this.#epoch !== undefined && events.epoch !== this.#epoch;
		if (hasRestarted || events.isIncomplete) {
			this.#reset();
		}

		if (hasRestarted) {
			// A restarted engine numbers its events from the start: the next call asks for them from the first one.
			return;
		}

		this.#epoch = events.epoch;
		this.#since = events.next;
		const change: BlockChanges = {
			added: events.added.map(block => [blockKey(block), block.tokens]),
			removed: events.removed.map(block => blockKey(block)),
		};
		for (const key of change.removed) {
			this.#blocks.delete(key);
		}

		for (const [key, tokens] of change.added) {
			this.#blocks.set(key, tokens);
		}

		this.#dependencies.publish(this.#engine.name, change);
	}

	#reset(): void {
		this.#dependencies.publish(this.#engine.name, {added: [], removed: [...this.#blocks.keys()]});
		this.#blocks.clear();
		this.#epoch = undefined;
		this.#since = 0;
	}
}
