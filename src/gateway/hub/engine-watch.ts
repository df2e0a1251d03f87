/**
 * Follows what one engine keeps, by its events.
 *
 * A hint for placing, unlike what is kept of stores: an engine drops parts by itself and reads again what it lost, so a
 * wrong word costs one reading. So the engine is never listed, which would stall its work: the events that it still has
 * are taken as they are, and where some are gone, what was known is forgotten.
 */
import {type CacheStoreControl, type StoreEvents} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {partKey} from '../../protocol/parts/part-key.js';
import {type PartsChange} from '../../protocol/parts/store-ledger.js';
import {EngineClock} from './engine-clock.js';

/** How long a call for events may wait; events come at once. */
const eventWaitMilliseconds = 900;
/** Pause behind events, so that those of a busy moment are told together: a part is reused no sooner than it is read. */
const batchMilliseconds = 150;
/** Pause behind a failed call. */
const retryMilliseconds = 500;

/** What a watch is given. */
export type EngineWatchTools = {
	control: Pick<CacheStoreControl, 'events'>;
	clock: MomentClock;
	/** How long the engine is left alone behind events, where that is more than the usual time. */
	pauseMilliseconds?: () => number;
	tell(engine: string, change: PartsChange): void;
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

	/** Whether the engine's last word was heard, and nothing missed since. */
	get isKnown(): boolean {
		return this.#epoch !== undefined;
	}

	/** The engines' clock by this engine's last word, in milliseconds. */
	get engineClock(): number | undefined {
		return this.#engineClock.at(this.#tools.clock.moment().steady);
	}

	/** All parts, for a follower that knows none. */
	parts(): Array<[key: string, tokens: number]> {
		return [...this.#parts];
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const pause = await this.step();
			await this.#tools.clock.sleep(pause, signal);
		}
	}

	/** Makes the next call; gives the pause behind it in milliseconds. */
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
			// The engine counts its events anew; they are asked for from the first one.
			return;
		}

		this.#epoch = events.epoch;
		this.#since = events.next;
		const change: PartsChange = {
			added: events.added.map(part => [partKey(part), part.tokens]),
			removed: events.removed.map(part => partKey(part)),
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
