/**
 * Plans which stored blocks an engine fetches for a prompt, and which it saves.
 *
 * Shared prompt blocks return to engines whose memory holds a fraction of them. Without stores an evicted block is
 * prefilled again, which takes an engine ten times as long as fetching it.
 *
 * A block that no store has yet is fetched from another engine that has it cached: after new weights are loaded, one
 * engine prefills a block first, and all others need the same block within the seconds until its save is reported. The
 * source of each block is chosen in `src/decision/transfers`.
 *
 * Each block has an order of stores by a hash weighted by capacity, the same for all instances, and is saved to the first
 * store that has room left. With a single store for each block, some stores dropped blocks in use while a quarter of the
 * others were empty. Only blocks that are known to be complete are fetched, since an engine takes what is stored without
 * checking it. A block is saved if no store has it. The same save is ordered only once in a while, since its report
 * arrives some hundred milliseconds later.
 */
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {type PromptBlock} from '../../shared/prompt-shape.js';
import {blockKey} from '../../protocol/blocks/block-key.js';
import {hashOf} from '../../shared/hash-of.js';

/** Where blocks are stored and cached, as far as known now. Keys are `salt|id`. */
export interface BlockLocator {
	isOpen(store: string): boolean;
	holds(store: string, key: string): boolean;
	/** Tokens of all blocks that a store is known to hold. */
	heldTokens(store: string): number;
	/** The address from which the engine of the prompt should fetch a block, by its index; `undefined` where it should not. */
	source(index: number): string | undefined;
}

/** Addresses by block, in the prompt's order; `undefined` where a block is not transferred. */
export type BlockPlan = {
	fetchFrom: Array<string | undefined>;
	saveTo: Array<string | undefined>;
	/** Blocks that stores hold, as `salt|id`. */
	used: string[];
};

/** A store with its name. */
export type NamedStore = {name: string; store: StoreTraits};

/** The same save is not ordered again within this time: the block has to be prefilled, sent and reported. */
const saveIntervalMilliseconds = 4000;
/** Number of ordered saves that are remembered. */
const maxRememberedSaves = 2000;
const hashRange = 2 ** 32;
/**
 * A store that is filled above this share counts as full: blocks being written are not known yet, and above this share
 * the cache store manager evicts blocks.
 */
const maxFillShare = 0.92;

export class BlockPlanner {
	readonly #orderedAt = new Map<string, number>();

	/**
	 * Plans the transfers of one prompt.
	 *
	 * @param blocks - The blocks that are shared with other prompts, in order.
	 * @param salt - The salt under which the engine caches them.
	 * @param stores - All stores.
	 * @param known - What they and the engines hold.
	 * @param now - Milliseconds of the steady clock.
	 */
	plan(blocks: readonly PromptBlock[], salt: string, {stores, known}: {stores: readonly NamedStore[]; known: BlockLocator}, now: number): BlockPlan {
		const plan: BlockPlan = {
			fetchFrom: [], saveTo: [], used: [],
		};
		for (const [index, {id, tokens}] of blocks.entries()) {
			const key = blockKey({salt, id});
			const holder = stores.find(({name}) => known.holds(name, key));
			plan.fetchFrom.push(known.source(index));
			if (holder !== undefined) {
				plan.used.push(key);
			}

			const target = holder === undefined ? storeWithRoom({id, tokens}, stores, known) : undefined;
			plan.saveTo.push(target !== undefined && this.#maySave(key, now) ? target.store.address : undefined);
		}

		return plan;
	}

	#maySave(key: string, now: number): boolean {
		const orderedAt = this.#orderedAt.get(key);
		if (orderedAt !== undefined && now - orderedAt < saveIntervalMilliseconds) {
			return false;
		}

		this.#orderedAt.delete(key);
		this.#orderedAt.set(key, now);
		if (this.#orderedAt.size > maxRememberedSaves) {
			this.#orderedAt.delete(this.#orderedAt.keys().next().value!);
		}

		return true;
	}
}

/**
 * The store that a new block is saved to: the first in its order with room; if none has room, the first one, which then
 * evicts other blocks.
 */
function storeWithRoom({id, tokens}: PromptBlock, stores: readonly NamedStore[], known: BlockLocator): NamedStore | undefined {
	const order = storesByPreference(id, stores.filter(({name}) => known.isOpen(name)));
	return order.find(({name, store}) => known.heldTokens(name) + tokens <= maxFillShare * store.capacityTokens) ?? order[0];
}

/** The stores in a block's order of preference, by rendezvous hashing weighted by capacity. */
export function storesByPreference(blockId: string, stores: readonly NamedStore[]): NamedStore[] {
	return stores
		.map(named => ({named, score: -named.store.capacityTokens / Math.log((hashOf(`${blockId}|${named.name}`) + 1) / (hashRange + 1))}))
		.toSorted((one, other) => other.score - one.score)
		.map(({named}) => named);
}
