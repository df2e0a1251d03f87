/**
 * A follower's view of the coordinator's answers: which stores and engines hold the blocks that it queried, the load of the
 * other instances, and the engines' clock. Each answer is used only while fresh, counted from the sending of its query.
 */
import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {reportValidityMilliseconds} from '../../protocol/blocks/block-times.js';
import {EngineClock} from './engine-clock.js';
import {
	engineHolder, type CoordinatorFrame, type PackedLoad, type PlacementQuery, unpackLoad,
} from './coordinator-messages.js';

/** Where a block is cached, by the answer to a query. */
type BlockLocations = {
	queriedAt: Moment;
	/** Tokens by holder. */
	holders: Map<string, number>;
	/** Engines whose cached blocks were unknown. */
	unknown: ReadonlySet<string>;
};

/** A load is unpacked when it is first used, and each placement uses those of all endpoints. */
type PeerLoad = {queriedAt: Moment; load: PackedLoad; unpacked?: EndpointLoad};

/** How many blocks and endpoints are remembered; the entries that were updated longest ago are dropped first. */
const maxBlocks = 2000;
const maxLoads = 2000;

export class CoordinatorView {
	readonly #blocks = new Map<string, BlockLocations>();
	readonly #loads = new Map<string, PeerLoad>();
	#open: ReadonlyMap<string, number> = new Map();
	#isLapsed = false;
	#queriedAt: Moment | undefined;
	#clockQueriedAt: Moment | undefined;
	readonly #engineClock = new EngineClock();
	readonly #uses = new Set<string>();

	/**
	 * Forgets what only the coordinator may serve: the connection to it has ended, and the next one may lead to another
	 * coordinator.
	 */
	reset(): void {
		this.#blocks.clear();
		this.#open = new Map();
		this.#isLapsed = false;
		this.#queriedAt = undefined;
	}

	/** Applies the answer to a query that was sent at `queriedAt`. */
	applyAnswer({
		clock, isDeputy: isStandby, isLapsed, open, loads, parts: blocks,
	}: CoordinatorFrame, {keys}: PlacementQuery, queriedAt: Moment, now: Moment): void {
		if (!isStandby) {
			this.#open = new Map(open);
			this.#isLapsed = isLapsed;
			this.#queriedAt = queriedAt;
		}

		this.#clockQueriedAt = queriedAt;
		this.#engineClock.clear();
		this.#engineClock.record(clock, now.steady);
		for (const [endpoint, load] of Object.entries(loads)) {
			remember(this.#loads, endpoint, {queriedAt, load}, maxLoads);
		}

		const unknown = new Set(blocks.unknown);
		const locations = keys.map((): BlockLocations => ({queriedAt, holders: new Map(), unknown}));
		for (const [holder, cachedBlocks] of blocks.kept) {
			for (const [index, tokens] of cachedBlocks) {
				locations[index]?.holders.set(holder, tokens);
			}
		}

		for (const [index, key] of keys.entries()) {
			remember(this.#blocks, key, locations[index]!, maxBlocks);
		}
	}

	/** Whether the coordinator's lease has lapsed. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	isFresh(now: Moment): boolean {
		return isFreshAt(this.#queriedAt, now);
	}

	/** Whether blocks may be saved to a store and fetched from it. */
	isOpen(store: string, now: Moment): boolean {
		return this.isFresh(now) && this.#open.has(store);
	}

	/** Whether a store holds a block completely. */
	holds(store: string, key: string, now: Moment): boolean {
		return this.isOpen(store, now) && (this.#freshLocations(key, now)?.holders.has(store) ?? false);
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
		const locations = this.#freshLocations(key, now);
		return locations === undefined || locations.unknown.has(engine) ? undefined : locations.holders.get(engineHolder(engine)) ?? 0;
	}

	/** The engines that are known to have a block cached: all, or several with few requests where many have it. */
	enginesWith(key: string, now: Moment): string[] {
		const prefix = engineHolder('');
		return [...this.#freshLocations(key, now)?.holders.keys() ?? []].filter(holder => holder.startsWith(prefix)).map(holder => holder.slice(prefix.length));
	}

	/**
	 * The engines' clock, never ahead of its true time: a time limit computed from it ends too soon rather than too late.
	 *
	 * @returns Milliseconds; `undefined` while it is unknown.
	 */
	engineClock(now: Moment): number | undefined {
		return isFreshAt(this.#clockQueriedAt, now) ? this.#engineClock.at(now.steady) : undefined;
	}

	/** The load of all other instances at an endpoint; `undefined` while it is unknown. */
	peerLoadAt(endpoint: string, now: Moment): EndpointLoad | undefined {
		const known = this.#loads.get(endpoint);
		if (known === undefined || !isFreshAt(known.queriedAt, now)) {
			return undefined;
		}

		known.unpacked ??= unpackLoad(known.load);
		return known.unpacked;
	}

	/** When the load of the other instances at an endpoint was queried last, in milliseconds of the steady clock. */
	loadQueriedAt(endpoint: string): number | undefined {
		return this.#loads.get(endpoint)?.queriedAt.steady;
	}

	recordUse(key: string): void {
		this.#uses.add(key);
	}

	/** Returns the stored blocks used since the last call, and clears them. */
	takeUses(): string[] {
		const uses = [...this.#uses];
		this.#uses.clear();
		return uses;
	}

	#freshLocations(key: string, now: Moment): BlockLocations | undefined {
		const locations = this.#blocks.get(key);
		return isFreshAt(locations?.queriedAt, now) ? locations : undefined;
	}
}

function isFreshAt(queriedAt: Moment | undefined, now: Moment): boolean {
	return queriedAt !== undefined && longestElapsed(queriedAt, now) < reportValidityMilliseconds;
}

/** Keeps the map in the order of its updates, so that the entry updated longest ago is dropped first. */
function remember<Entry>(map: Map<string, Entry>, key: string, entry: Entry, max: number): void {
	map.delete(key);
	map.set(key, entry);
	if (map.size > max) {
		map.delete(map.keys().next().value!);
	}
}
