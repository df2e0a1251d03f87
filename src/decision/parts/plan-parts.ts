/**
 * Which stored parts an engine fetches for a prompt, and which it saves.
 *
 * Load it answers: shared prompt parts that return to engines whose memory holds a fraction of them. Without stores an
 * evicted part is read again, which takes an engine ten times as long as fetching it.
 *
 * A part that no store has yet is fetched from another engine that keeps it: new weights are first read by one engine, and
 * all others need the same parts within the seconds that a save and its news take. What an engine keeps is a hint; a part
 * that is gone there costs a millisecond, and the prompt is read.
 *
 * Each part has an order of stores by a hash weighed by room, the same for all instances, and is saved to the first one that
 * has room left: with one store for each part, some stores dropped parts in use while a quarter of the others lay empty.
 * Only parts that are known to be whole are fetched: an engine takes what lies there without looking. A part is saved if no
 * store has it; asked for once in a while only, since the news of a save comes some hundred milliseconds later.
 */
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {type PromptPart} from '../../shared/prompt-shape.js';
import {partKey} from '../../protocol/parts/part-key.js';
import {hashOf} from '../../shared/hash-of.js';

/** What is known of the stores and engines now. Keys are `salt|id`. */
export interface PartKnowledge {
	isOpen(store: string): boolean;
	holds(store: string, key: string): boolean;
	/** Tokens of all parts that a store is known to hold. */
	heldTokens(store: string): number;
	/** The address of an engine that keeps a part which the engine of the prompt lacks. */
	engineSource(key: string): string | undefined;
}

/** Addresses by part, in the prompt's order; an absent one means nothing for that part. */
export type PartPlan = {
	fetchFrom: Array<string | undefined>;
	saveTo: Array<string | undefined>;
	/** The stored parts that are fetched, as `salt|id`. */
	used: string[];
};

/** A named store. */
export type NamedStore = {name: string; store: StoreTraits};

/** A save is not asked for again within this time: the part has to be read, sent and told of. */
const saveAgainMilliseconds = 4000;
/** How many asked-for saves are remembered. */
const rememberedSaves = 2000;
const hashRange = 2 ** 32;
/** A store that is fuller than this counts as full: what is being written is not yet known, and the keeper makes room above it. */
const roomShare = 0.92;

export class PartPlanner {
	readonly #askedAt = new Map<string, number>();

	/**
	 * Plans for one prompt.
	 *
	 * @param parts - The parts that are shared with other prompts, in order.
	 * @param salt - The salt under which the engine keeps them.
	 * @param stores - All stores.
	 * @param known - What they hold.
	 * @param now - Milliseconds of the steady clock.
	 */
	plan(parts: readonly PromptPart[], salt: string, {stores, known}: {stores: readonly NamedStore[]; known: PartKnowledge}, now: number): PartPlan {
		const plan: PartPlan = {
			fetchFrom: [], saveTo: [], used: [],
		};
		for (const {id, tokens} of parts) {
			const key = partKey({salt, id});
			const holder = stores.find(({name}) => known.holds(name, key));
			const source = holder?.store.address ?? known.engineSource(key);
			plan.fetchFrom.push(source);
			if (holder !== undefined) {
				plan.used.push(key);
			}

			const room = holder === undefined ? storeWithRoom({id, tokens}, stores, known) : undefined;
			plan.saveTo.push(room !== undefined && this.#maySave(key, now) ? room.store.address : undefined);
		}

		return plan;
	}

	#maySave(key: string, now: number): boolean {
		const askedAt = this.#askedAt.get(key);
		if (askedAt !== undefined && now - askedAt < saveAgainMilliseconds) {
			return false;
		}

		this.#askedAt.delete(key);
		this.#askedAt.set(key, now);
		if (this.#askedAt.size > rememberedSaves) {
			this.#askedAt.delete(this.#askedAt.keys().next().value!);
		}

		return true;
	}
}

/** The store that a new part is saved to: the first of its order with room; if none has, the first one, which makes room. */
function storeWithRoom({id, tokens}: PromptPart, stores: readonly NamedStore[], known: PartKnowledge): NamedStore | undefined {
	const order = storesInOrder(id, stores.filter(({name}) => known.isOpen(name)));
	return order.find(({name, store}) => known.heldTokens(name) + tokens <= roomShare * store.capacityTokens) ?? order[0];
}

/** The stores of a part in the order of preference: rendezvous hashing, each store weighed by its room. */
export function storesInOrder(partId: string, stores: readonly NamedStore[]): NamedStore[] {
	return stores
		.map(named => ({named, score: -named.store.capacityTokens / Math.log((hashOf(`${partId}|${named.name}`) + 1) / (hashRange + 1))}))
		.toSorted((one, other) => other.score - one.score)
		.map(({named}) => named);
}
