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
 * Each part has one store by a hash weighed by room, so that all instances look for it in the same place. Only parts that
 * are known to be whole are fetched: an engine takes what lies there without looking. A part is saved if its store does
 * not have it; asked for once in a while only, since the news of a save comes some hundred milliseconds later.
 */
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {type PromptPart} from '../../shared/prompt-shape.js';
import {hashOf} from '../../shared/hash-of.js';

/** What is known of the stores and engines now. Keys are `salt|id`. */
export interface StoreKnowledge {
	isOpen(store: string): boolean;
	holds(store: string, key: string): boolean;
	/** The address of an engine that keeps a part which the engine of the prompt lacks. */
	engineSource(key: string): string | undefined;
}

/** Addresses by part, in the prompt's order; an absent one means nothing for that part. */
export type PartPlan = {
	fetchFrom: Array<string | undefined>;
	saveTo: Array<string | undefined>;
	/** The stored parts that are fetched, as `salt|id`. */
	used: string[];
	fetchedTokens: number;
};

/** A named store. */
export type NamedStore = {name: string; store: StoreTraits};

/** A save is not asked for again within this time: the part has to be read, sent and told of. */
const saveAgainMilliseconds = 4000;
/** How many asked-for saves are remembered. */
const rememberedSaves = 2000;
const hashRange = 2 ** 32;

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
	plan(parts: readonly PromptPart[], salt: string, {stores, known}: {stores: readonly NamedStore[]; known: StoreKnowledge}, now: number): PartPlan {
		const plan: PartPlan = {
			fetchFrom: [], saveTo: [], used: [], fetchedTokens: 0,
		};
		for (const {id, tokens} of parts) {
			const key = `${salt}|${id}`;
			const home = storeOf(id, stores);
			const isHeld = home !== undefined && known.holds(home.name, key);
			const source = isHeld ? home.store.address : known.engineSource(key);
			plan.fetchFrom.push(source);
			plan.fetchedTokens += source === undefined ? 0 : tokens;
			if (isHeld) {
				plan.used.push(key);
			}

			const isSaved = home !== undefined && !isHeld && known.isOpen(home.name) && this.#maySave(key, now);
			plan.saveTo.push(isSaved ? home.store.address : undefined);
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

/** The store of a part: rendezvous hashing, each store weighed by its room. */
export function storeOf(partId: string, stores: readonly NamedStore[]): NamedStore | undefined {
	let best: NamedStore | undefined;
	let highest = Number.NEGATIVE_INFINITY;
	for (const named of stores) {
		const uniform = (hashOf(`${partId}|${named.name}`) + 1) / (hashRange + 1);
		const score = -named.store.capacityTokens / Math.log(uniform);
		if (score > highest) {
			best = named;
			highest = score;
		}
	}

	return best;
}
