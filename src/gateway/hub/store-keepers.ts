/** The hub's keepers of all cache stores, as long as it holds the duty. */
import {type PartsChange} from '../../protocol/parts/store-ledger.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {StoreKeeper, type KeeperTools} from './store-keeper.js';

/** All stores together are asked for events no more often than one each so many milliseconds. */
const pausePerStoreMilliseconds = 10;

export class StoreKeepers {
	readonly #tools: KeeperTools;
	readonly #keepers = new Map<string, StoreKeeper>();
	#keeping: AbortController | undefined;
	#fencingNumber = 0;
	/** Under which number of the duty stores were kept last, and until when. */
	#lastKept: {fencingNumber: number; until: number} | undefined;

	constructor(tools: KeeperTools) {
		this.#tools = tools;
	}

	/**
	 * Starts to keep the stores that are not kept yet.
	 *
	 * @param stores - All stores.
	 * @param fencingNumber - The number of the duty, which rises when its holder changes.
	 * @param inheritedEpochs - The stores' epochs as the last holder of the duty knew them.
	 */
	keep(stores: ReadonlyArray<[name: string, store: StoreTraits]>, fencingNumber: number, inheritedEpochs: Readonly<Record<string, number>> = {}): void {
		const believedUntil = this.#believedUntil(fencingNumber);
		// Later on only a keeper that failed is replaced: an order of that one may still be on its way.
		const epochs = this.#keeping === undefined ? inheritedEpochs : {};
		this.#keeping ??= new AbortController();
		const {signal} = this.#keeping;
		this.#fencingNumber = fencingNumber;
		for (const [name, store] of stores) {
			if (!this.#keepers.has(name)) {
				const keeper = new StoreKeeper(name, store, this.#toolsUntil(signal), {believedUntil, inheritedEpoch: epochs[name]});
				this.#keepers.set(name, keeper);
				void this.#run(name, keeper, signal);
			}
		}
	}

	/**
	 * Keeps no store any longer. Nothing counts as held from then on: what was gathered under the duty must not come back into
	 * force with the next grant.
	 */
	close(): void {
		const now = this.#tools.clock.moment().steady;
		if (this.#keeping !== undefined) {
			this.#lastKept = {fencingNumber: this.#fencingNumber, until: now};
		}

		this.#keeping?.abort();
		this.#keeping = undefined;
		for (const [name, {ledger}] of this.#keepers) {
			this.#tools.tell(name, ledger.close(now));
		}

		this.#keepers.clear();
	}

	/** The epochs of the stores that are known, for the next holder of the duty. */
	epochs(): Record<string, number> {
		return Object.fromEntries([...this.#keepers].flatMap(([name, {ledger: {epoch}}]) => epoch === undefined ? [] : [[name, epoch]]));
	}

	/** The engines' clock, in milliseconds, if any store told it. */
	engineClock(): number | undefined {
		return [...this.#keepers.values()].map(({engineClock}) => engineClock).find(clock => clock !== undefined);
	}

	/** Stores that may be saved to and fetched from, and the tokens of the parts that they offer. */
	open(): Array<[store: string, heldTokens: number]> {
		return [...this.#keepers].filter(([, {isOpen}]) => isOpen).map(([name, {ledger}]) => [name, ledger.offeredTokens]);
	}

	/** Notes that parts were used. */
	use(keys: readonly string[]): void {
		const now = this.#tools.clock.moment().steady;
		for (const {ledger} of this.#keepers.values()) {
			for (const key of keys) {
				ledger.use(key, now);
			}
		}
	}

	/**
	 * When the last word of stores was told that followers may still believe: just now, by a holder that is not known here, or
	 * by a keeper of this one that has failed. But if nothing is kept, and the number of the duty is the same as before, nobody
	 * held it meanwhile, and the last word was this instance's own.
	 */
	#believedUntil(fencingNumber: number): number {
		const isOwnWord = this.#keeping === undefined && this.#lastKept?.fencingNumber === fencingNumber;
		return isOwnWord ? this.#lastKept!.until : this.#tools.clock.moment().steady;
	}

	/**
	 * A call may be under way when the duty ends. What it brings is told to nobody: followers that stay connected would take
	 * it for held with the next grant, though another holder may have freed it.
	 */
	#toolsUntil(signal: AbortSignal): KeeperTools {
		return {
			...this.#tools,
			pauseMilliseconds: () => pausePerStoreMilliseconds * this.#keepers.size,
			tell: (store, change) => {
				if (!signal.aborted) {
					this.#tools.tell(store, change);
				}
			},
		};
	}

	/** A keeper that fails is forgotten, and the next step starts a new one, which trusts nothing that the old one told. */
	async #run(name: string, keeper: StoreKeeper, signal: AbortSignal): Promise<void> {
		try {
			await keeper.run(signal);
		} catch (error) {
			this.#tools.log.record('fault', {child: `store-keeper ${name}`, error: String(error)});
			this.#tools.tell(name, keeper.ledger.close(this.#tools.clock.moment().steady));
			this.#keepers.delete(name);
		}
	}
}
