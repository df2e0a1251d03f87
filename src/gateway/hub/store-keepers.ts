/** The coordinator's managers of all cache stores, for as long as it holds the lease. */
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {StoreKeeper, type KeeperTools} from './store-keeper.js';

/** Minimum interval between calls for events, over all stores together. */
const pausePerStoreMilliseconds = 10;

export class StoreKeepers {
	readonly #tools: KeeperTools;
	readonly #keepers = new Map<string, StoreKeeper>();
	#keeping: AbortController | undefined;
	#fencingNumber = 0;
	/** The fencing number of the lease under which stores were managed last, and until when. */
	#lastKept: {fencingNumber: number; until: number} | undefined;

	constructor(tools: KeeperTools) {
		this.#tools = tools;
	}

	/**
	 * Starts managers for the stores that have none.
	 *
	 * @param stores - All stores.
	 * @param fencingNumber - The number of the lease, which rises when its holder changes.
	 * @param inheritedEpochs - The stores' epochs as the last holder of the lease knew them.
	 */
	keep(stores: ReadonlyArray<[name: string, store: StoreTraits]>, fencingNumber: number, inheritedEpochs: Readonly<Record<string, number>> = {}): void {
		const believedUntil = this.#believedUntil(fencingNumber);
		// Later on, a new manager only replaces one that failed, whose order may still be in flight: it gets no handover.
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
	 * Stops all managers. Nothing counts as held from then on: what was collected under the lease must not take effect again
	 * with the next grant.
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

	/** The epochs of the stores that are known, for the next holder of the lease. */
	epochs(): Record<string, number> {
		return Object.fromEntries([...this.#keepers].flatMap(([name, {ledger: {epoch}}]) => epoch === undefined ? [] : [[name, epoch]]));
	}

	/** The engines' clock in milliseconds, if any store has reported it. */
	engineClock(): number | undefined {
		return [...this.#keepers.values()].map(({engineClock}) => engineClock).find(clock => clock !== undefined);
	}

	/** Stores that blocks may be saved to and fetched from, and the tokens of the blocks that they offer. */
	open(): Array<[store: string, heldTokens: number]> {
		return [...this.#keepers].filter(([, {isOpen}]) => isOpen).map(([name, {ledger}]) => [name, ledger.offeredTokens]);
	}

	/** Records that blocks were used. */
	use(keys: readonly string[]): void {
		const now = this.#tools.clock.moment().steady;
		for (const {ledger} of this.#keepers.values()) {
			for (const key of keys) {
				ledger.markUsed(key, now);
			}
		}
	}

	/**
	 * When blocks of stores were last published that followers may still use: now, where another holder may have published
	 * them, or a failed manager of this instance. But if no store is managed and the fencing number is the same as before, no
	 * other instance held the lease meanwhile, and this instance published last.
	 */
	#believedUntil(fencingNumber: number): number {
		const isOwnWord = this.#keeping === undefined && this.#lastKept?.fencingNumber === fencingNumber;
		return isOwnWord ? this.#lastKept!.until : this.#tools.clock.moment().steady;
	}

	/**
	 * A call may be in flight when the lease ends. Its result is not published: followers that stay connected would take the
	 * blocks for held after the next grant, though another holder may have freed them.
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

	/** Removes a manager that fails. The next step starts a new one, which relies on nothing that the failed one published. */
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
