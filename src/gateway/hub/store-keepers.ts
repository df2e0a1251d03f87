/** The hub's keepers of all cache stores, as long as it holds the duty. */
import {type PartsChange} from '../../protocol/parts/store-ledger.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {StoreKeeper, type KeeperTools} from './store-keeper.js';

export class StoreKeepers {
	readonly #tools: KeeperTools;
	readonly #keepers = new Map<string, StoreKeeper>();
	#keeping: AbortController | undefined;

	constructor(tools: KeeperTools) {
		this.#tools = tools;
	}

	/** Starts to keep the stores that are not kept yet. */
	keep(stores: ReadonlyArray<[name: string, store: StoreTraits]>): void {
		this.#keeping ??= new AbortController();
		const {signal} = this.#keeping;
		for (const [name, store] of stores) {
			if (!this.#keepers.has(name)) {
				const keeper = new StoreKeeper(name, store, this.#toolsUntil(signal));
				this.#keepers.set(name, keeper);
				void this.#run(name, keeper, signal);
			}
		}
	}

	/**
	 * Keeps no store any longer. The followers are told that nothing is held: a connection may outlive the duty, and what
	 * they heard under it must not come back into force with the next grant.
	 */
	close(): void {
		this.#keeping?.abort();
		this.#keeping = undefined;
		for (const [name, {ledger}] of this.#keepers) {
			this.#tools.tell(name, ledger.close(this.#tools.clock.moment().steady));
		}

		this.#keepers.clear();
	}

	/** The engines' clock, in milliseconds, if any store told it. */
	engineClock(): number | undefined {
		return [...this.#keepers.values()].map(({engineClock}) => engineClock).find(clock => clock !== undefined);
	}

	/** Stores that may be saved to and fetched from. */
	open(): string[] {
		return [...this.#keepers].filter(([, {isOpen}]) => isOpen).map(([name]) => name);
	}

	/** All that a new follower has to hear. */
	snapshot(): Array<{holder: string} & PartsChange> {
		return [...this.#keepers].map(([holder, {ledger}]) => ({holder, added: ledger.offered(), removed: []}));
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
	 * A call may be under way when the duty ends. What it brings is told to nobody: followers that stay connected would take
	 * it for held with the next grant, though another holder may have freed it.
	 */
	#toolsUntil(signal: AbortSignal): KeeperTools {
		return {
			...this.#tools,
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
