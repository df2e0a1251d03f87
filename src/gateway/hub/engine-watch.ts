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
export type EngineWatchTools = {
	control: Pick<CacheStoreControl, 'events'>;
	clock: MomentClock;
	/** Minimum pause after events, in milliseconds; the usual pause applies where it is longer. */
	pauseMilliseconds?: () => number;
	tell(engine: string, change: BlockChanges): void;
};

export class EngineWatch {
	readonly #engine: EndpointRecord;
	readonly #tools: EngineWatchTools;
	readonly #parts = new Map<string, number>();
	readonly #engineClock = new EngineClock();
	#epoch: number | undefined;
	#since = 0;

	constructor(engine: EndpointRecord, tools: EngineWatchTools) {
		this.#engine = engine;
		this.#tools = tools;
	}

	/** Whether the last call succeeded, so that the engine's events are known up to then. */
	get isKnown(): boolean {
		return this.#epoch !== undefined;
	}

	/** The engines' clock by this engine's last answer, in milliseconds. */
	get engineClock(): number | undefined {
		return this.#engineClock.at(this.#tools.clock.moment().steady);
	}

	/** All blocks that the engine is known to hold. */
	parts(): Array<[key: string, tokens: number]> {
		return [...this.#parts];
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const pause = await this.step();
			await this.#tools.clock.sleep(pause, signal);
		}
	}

	/** Makes the next call; returns the pause after it in milliseconds. */
	async step(): Promise<number> {
		const answer = await this.#tools.control.events(this.#engine.address, this.#since, eventWaitMilliseconds);
		return answer.caseOf({
			Left: () => {
				this.#forget();
				return retryMilliseconds;
			},
			Right: events => {
				this.#take(events);
				return Math.max(batchMilliseconds, this.#tools.pauseMilliseconds?.() ?? 0);
			},
		});
	}

	#take(events: StoreEvents): void {
		this.#engineClock.hear(events.clockMilliseconds, this.#tools.clock.moment().steady);
		const hasRestarted = this.#epoch !== undefined && events.epoch !== this.#epoch;
		if (hasRestarted || events.isIncomplete) {
			this.#forget();
		}

		if (hasRestarted) {
			// A restarted engine numbers its events from the start: the next call asks for them from the first one.
			return;
		}

		this.#epoch = events.epoch;
		this.#since = events.next;
		const change: BlockChanges = {
			added: events.added.map(part => [blockKey(part), part.tokens]),
			removed: events.removed.map(part => blockKey(part)),
		};
		for (const key of change.removed) {
			this.#parts.delete(key);
		}

		for (const [key, tokens] of change.added) {
			this.#parts.set(key, tokens);
		}

		this.#tools.tell(this.#engine.name, change);
	}

	#forget(): void {
		this.#tools.tell(this.#engine.name, {added: [], removed: [...this.#parts.keys()]});
		this.#parts.clear();
		this.#epoch = undefined;
		this.#since = 0;
	}
}
