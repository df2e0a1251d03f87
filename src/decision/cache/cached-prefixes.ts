/**
 * Tracks which engines and stores hold which cache blocks, as far as this instance knows.
 *
 * Prompts return to one of many endpoints. Without this knowledge a returning prompt is sent to an endpoint that does not
 * have its prefix cached, and is recomputed. All of it is a hint. Events arrive late and with gaps, so an entry may be
 * wrong in both directions: a block whose eviction was missed costs one miss, after which the answer's count of cached
 * tokens corrects the entry; a block that is not known costs one recompute, after which it is known.
 *
 * The blocks per holder are bounded like the holder's own cache and evicted in the same order. A block whose eviction
 * event was lost is therefore dropped at about the same time as at the holder, and memory is bounded.
 */
import {type CacheEvent} from '../../ports/model-engine.js';

/** Capacity assumed for a holder that has not reported its own, in blocks. */
const defaultCapacityBlocks = 4096;

/**
 * Number of unknown blocks in a row that are skipped when a later block of the same prefix is known. The blocks of a
 * prefix are stored and evicted together, the last ones first, so a gap is nearly always a lost event. With one event in
 * fifty lost, a prefix of eighteen blocks would otherwise be known in full in only two of three cases.
 */
const maxGapBlocks = 2;

type Holder = {name: string; capacity: number; lastSequence: number; gaps: number; keys: Set<string>};

export class CachedPrefixes {
	readonly #holders = new Map<string, Holder>();
	readonly #holdersOfKey = new Map<string, Set<string>>();

	/** Adds blocks that a holder now has, by its own events or because it has just run a prompt with them. */
	add(name: string, blockKeys: readonly string[]): void {
		const holder = this.#holderOf(name);
		for (const key of blockKeys) {
			holder.keys.delete(key);
			holder.keys.add(key);
			this.#holdersOf(key).add(name);
		}

		while (holder.keys.size > holder.capacity) {
			this.#removeKey(holder, holder.keys.values().next().value!);
		}
	}

	/** Removes blocks that a holder turned out not to have. */
	remove(name: string, blockKeys: readonly string[]): void {
		const holder = this.#holderOf(name);
		for (const key of blockKeys) {
			this.#removeKey(holder, key);
		}
	}

	/** Removes a holder that has left, crashed or dropped its content. */
	removeHolder(name: string): void {
		const holder = this.#holderOf(name);
		this.remove(name, [...holder.keys]);
		this.#holders.delete(name);
	}

	/** Sets how many blocks a holder has room for. */
	setCapacity(name: string, blocks: number): void {
		this.#holderOf(name).capacity = blocks;
	}

	/**
	 * Applies a holder's cache events; repeated and older ones are skipped. After a gap the known blocks stay: dropping
	 * all of them would recompute every prefix of that holder, whereas a wrong one costs a single miss.
	 */
	applyEvents(name: string, events: readonly CacheEvent[]): void {
		const holder = this.#holderOf(name);
		for (const {sequence, kind, pieceKey} of events) {
			if (sequence <= holder.lastSequence) {
				continue;
			}

			holder.gaps += holder.lastSequence > 0 && sequence > holder.lastSequence + 1 ? 1 : 0;
			holder.lastSequence = sequence;
			if (kind === 'stored') {
				this.add(name, [pieceKey]);
			} else {
				this.#removeKey(holder, pieceKey);
			}
		}
	}

	/** Sequence number of the newest event applied from a holder; 0 before the first. */
	lastSequenceOf(name: string): number {
		return this.#holders.get(name)?.lastSequence ?? 0;
	}

	/** Number of gaps in a holder's events. */
	gapsOf(name: string): number {
		return this.#holders.get(name)?.gaps ?? 0;
	}

	/** Whether any holder, or any of the given ones, is known to have the block. */
	isCached(blockKey: string, holders?: ReadonlySet<string>): boolean {
		const found = this.#holdersOfKey.get(blockKey);
		return found !== undefined && (holders === undefined || [...found].some(name => holders.has(name)));
	}

	/**
	 * Returns how many leading blocks of a prompt each holder has, as far as known.
	 *
	 * @param blockKeys - The prompt's blocks, first one first.
	 * @returns Number of blocks by holder; holders of none are absent.
	 */
	leadingBlocks(blockKeys: readonly string[]): Map<string, number> {
		const counts = new Map<string, number>();
		let known = 0;
		for (const [index, key] of blockKeys.entries()) {
			for (const name of this.#holdersOfKey.get(key) ?? []) {
				if (index - (counts.get(name) ?? 0) <= maxGapBlocks) {
					counts.set(name, index + 1);
					known = index + 1;
				}
			}

			if (index - known >= maxGapBlocks) {
				break;
			}
		}

		return counts;
	}

	#holderOf(name: string): Holder {
		let holder = this.#holders.get(name);
		if (holder === undefined) {
			holder = {
				name, capacity: defaultCapacityBlocks, lastSequence: 0, gaps: 0, keys: new Set(),
			};
			this.#holders.set(name, holder);
		}

		return holder;
	}

	#holdersOf(key: string): Set<string> {
		let names = this.#holdersOfKey.get(key);
		if (names === undefined) {
			names = new Set();
			this.#holdersOfKey.set(key, names);
		}

		return names;
	}

	#removeKey(holder: Holder, key: string): void {
		holder.keys.delete(key);
		const names = this.#holdersOfKey.get(key);
		names?.delete(holder.name);
		if (names?.size === 0) {
			this.#holdersOfKey.delete(key);
		}
	}
}
