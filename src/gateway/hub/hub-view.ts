/**
 * A follower's view of the coordinator's answers: which stores and engines hold the blocks that it queried, the load of the
 * other instances, and the engines' clock. Each answer is used only while fresh, counted from the sending of its query.
 */
import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {reportValidityMilliseconds} from '../../protocol/blocks/block-times.js';
import {EngineClock} from './engine-clock.js';
import {
	engineHolder, type HubFrame, type PackedLoad, type PlaceQuestion, unpackLoad,
} from './hub-messages.js';

/** Where a block is cached, by the answer to a query. */
type PartNews = {
	askedAt: Moment;
	/** Tokens by holder. */
	holders: Map<string, number>;
	/** Engines whose cached blocks were unknown. */
	unknown: ReadonlySet<string>;
};

type LoadNews = {askedAt: Moment; load: PackedLoad};

/** How many blocks and endpoints are remembered; the entries that were updated longest ago are dropped first. */
const mostParts = 2000;
const mostLoads = 2000;

export class HubView {
	readonly #parts = new Map<string, PartNews>();
	readonly #loads = new Map<string, LoadNews>();
	#open: ReadonlyMap<string, number> = new Map();
	#isLapsed = false;
	#askedAt: Moment | undefined;
	#clockAskedAt: Moment | undefined;
	readonly #engineClock = new EngineClock();
	readonly #uses = new Set<string>();

	/**
	 * Forgets what only the coordinator may serve: the connection to it has ended, and the next one may lead to another
	 * coordinator.
	 */
	reset(): void {
		this.#parts.clear();
		this.#open = new Map();
		this.#isLapsed = false;
		this.#askedAt = undefined;
	}

	/** Applies the answer to a query that was sent at `queriedAt`. */
	takeAnswer({
		clock, isDeputy, isLapsed, open, loads, parts,
	}: HubFrame, {keys}: PlaceQuestion, askedAt: Moment, now: Moment): void {
		if (!isDeputy) {
			this.#open = new Map(open);
			this.#isLapsed = isLapsed;
			this.#askedAt = askedAt;
		}

		this.#clockAskedAt = askedAt;
		this.#engineClock.forget();
		this.#engineClock.hear(clock, now.steady);
		for (const [endpoint, load] of Object.entries(loads)) {
			remember(this.#loads, endpoint, {askedAt, load}, mostLoads);
		}

		const unknown = new Set(parts.unknown);
		const news = keys.map((): PartNews => ({askedAt, holders: new Map(), unknown}));
		for (const [holder, kept] of parts.kept) {
			for (const [index, tokens] of kept) {
				news[index]?.holders.set(holder, tokens);
			}
		}

		for (const [index, key] of keys.entries()) {
			remember(this.#parts, key, news[index]!, mostParts);
		}
	}

	/** Whether the coordinator's lease has lapsed. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	isFresh(now: Moment): boolean {
		return isFreshAt(this.#askedAt, now);
	}

	/** Whether blocks may be saved to a store and fetched from it. */
	isOpen(store: string, now: Moment): boolean {
		return this.isFresh(now) && this.#open.has(store);
	}

	/** Whether a store holds a block completely. */
	holds(store: string, key: string, now: Moment): boolean {
		return this.isOpen(store, now) && (this.#newsOf(key, now)?.holders.has(store) ?? false);
	}

	/** Tokens of all blocks that a store is known to hold. */
	heldTokens(store: string): number {
		return this.#open.get(store) ?? 0;
	}

	/**
	 * Tokens of a block that an engine has cached, by its own events.
	 *
	 * @returns `undefined` while that is unknown. A hint: some events never arrive.
	 */
	tokensAt(engine: string, key: string, now: Moment): number | undefined {
		const news = this.#newsOf(key, now);
		return news === undefined || news.unknown.has(engine) ? undefined : news.holders.get(engineHolder(engine)) ?? 0;
	}

	/** The engines that are known to have a block cached: all, or several with few requests where many have it. */
	enginesWith(key: string, now: Moment): string[] {
		const prefix = engineHolder('');
		return [...this.#newsOf(key, now)?.holders.keys() ?? []].filter(holder => holder.startsWith(prefix)).map(holder => holder.slice(prefix.length));
	}

	/**
	 * The engines' clock, never ahead of its true time: a time limit computed from it ends too soon rather than too late.
	 *
	 * @returns Milliseconds; `undefined` while it is unknown.
	 */
	engineClock(now: Moment): number | undefined {
		return isFreshAt(this.#clockAskedAt, now) ? this.#engineClock.at(now.steady) : undefined;
	}

	/** The load of all other instances at an endpoint; `undefined` while it is unknown. */
	othersAt(endpoint: string, now: Moment): EndpointLoad | undefined {
		const news = this.#loads.get(endpoint);
		return news !== undefined && isFreshAt(news.askedAt, now) ? unpackLoad(news.load) : undefined;
	}

	noteUse(key: string): void {
		this.#uses.add(key);
	}

	/** Returns the stored blocks used since the last call, and clears them. */
	takeUses(): string[] {
		const uses = [...this.#uses];
		this.#uses.clear();
		return uses;
	}

	#newsOf(key: string, now: Moment): PartNews | undefined {
		const news = this.#parts.get(key);
		return isFreshAt(news?.askedAt, now) ? news : undefined;
	}
}

function isFreshAt(askedAt: Moment | undefined, now: Moment): boolean {
	return askedAt !== undefined && longestElapsed(askedAt, now) < reportValidityMilliseconds;
}

/** Keeps the map in the order of its updates, so that the entry updated longest ago is dropped first. */
function remember<News>(map: Map<string, News>, key: string, news: News, most: number): void {
	map.delete(key);
	map.set(key, news);
	if (map.size > most) {
		map.delete(map.keys().next().value!);
	}
}
