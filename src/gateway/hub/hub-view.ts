/**
 * What a follower knows from the hub: which stores and engines hold the parts that it asked about, what the other instances
 * have under way, and the engines' clock. Each answer is used only while fresh, counted from the sending of its question.
 */
import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {freshMilliseconds} from '../../protocol/parts/part-times.js';
import {EngineClock} from './engine-clock.js';
import {
	engineHolder, type HubFrame, type PackedLoad, type PlaceQuestion, unpackLoad,
} from './hub-messages.js';

/** Where a part is kept, by the answer to a question. */
type PartNews = {
	askedAt: Moment;
	/** Tokens by holder. */
	holders: Map<string, number>;
	/** Engines whose parts were not known. */
	unknown: ReadonlySet<string>;
};

type LoadNews = {askedAt: Moment; load: PackedLoad};

/** How many parts and endpoints are remembered; the oldest news go first. */
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

	/** Forgets what only the hub may tell: the connection to it ended, and the next one may be to another hub. */
	reset(): void {
		this.#parts.clear();
		this.#open = new Map();
		this.#isLapsed = false;
		this.#askedAt = undefined;
	}

	/** Takes the answer to a question that was sent at `askedAt`. */
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

	/** Whether the hub has lost its lease. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	isFresh(now: Moment): boolean {
		return isFreshAt(this.#askedAt, now);
	}

	/** Whether parts may be saved to a store and fetched from it. */
	isOpen(store: string, now: Moment): boolean {
		return this.isFresh(now) && this.#open.has(store);
	}

	/** Whether a store holds a part whole. */
	holds(store: string, key: string, now: Moment): boolean {
		return this.isOpen(store, now) && (this.#newsOf(key, now)?.holders.has(store) ?? false);
	}

	/** Tokens of all parts that a store is known to hold. */
	heldTokens(store: string): number {
		return this.#open.get(store) ?? 0;
	}

	/**
	 * Tokens of a part that an engine keeps, by its own events.
	 *
	 * @returns `undefined` while that is not known. A hint: some events never arrive.
	 */
	tokensAt(engine: string, key: string, now: Moment): number | undefined {
		const news = this.#newsOf(key, now);
		return news === undefined || news.unknown.has(engine) ? undefined : news.holders.get(engineHolder(engine)) ?? 0;
	}

	/** The engines that are known to keep a part: all, or several with little to do where many keep it. */
	enginesWith(key: string, now: Moment): string[] {
		const prefix = engineHolder('');
		return [...this.#newsOf(key, now)?.holders.keys() ?? []].filter(holder => holder.startsWith(prefix)).map(holder => holder.slice(prefix.length));
	}

	/**
	 * The engines' clock, at most as far on as it really is: a time limit reckoned from it ends too soon rather than too late.
	 *
	 * @returns Milliseconds; `undefined` while it is not known.
	 */
	engineClock(now: Moment): number | undefined {
		return isFreshAt(this.#clockAskedAt, now) ? this.#engineClock.at(now.steady) : undefined;
	}

	/** What all other instances have under way at an endpoint; `undefined` while that is not known. */
	othersAt(endpoint: string, now: Moment): EndpointLoad | undefined {
		const news = this.#loads.get(endpoint);
		return news !== undefined && isFreshAt(news.askedAt, now) ? unpackLoad(news.load) : undefined;
	}

	noteUse(key: string): void {
		this.#uses.add(key);
	}

	/** Gives the parts used since the last call. */
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
	return askedAt !== undefined && longestElapsed(askedAt, now) < freshMilliseconds;
}

/** The order of the map is the order of the news. */
function remember<News>(map: Map<string, News>, key: string, news: News, most: number): void {
	map.delete(key);
	map.set(key, news);
	if (map.size > most) {
		map.delete(map.keys().next().value!);
	}
}
