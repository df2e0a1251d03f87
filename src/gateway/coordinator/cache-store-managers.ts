/** The coordinator's managers of all cache stores, for as long as it holds the lease. */
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {CacheStoreManager, type CacheStoreManagerDependencies} from './cache-store-manager.js';

/** Minimum interval between calls for events, over all stores together. */
const pausePerStoreMilliseconds = 10;

export class CacheStoreManagers {
	readonly #dependencies: CacheStoreManagerDependencies;
	readonly #managers = new Map<string, CacheStoreManager>();
	#managing: AbortController | undefined;
	#fencingNumber = 0;
	/** The fencing number of the lease under which stores were managed last, and until when. */
	#lastManaged: {fencingNumber: number; until: number} | undefined;

	constructor(dependencies: CacheStoreManagerDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Starts managers for the stores that have none.
	 *
	 * @param stores - All stores.
	 * @param fencingNumber - The number of the lease, which rises when its holder changes.
	 * @param handoverEpochs - The stores' epochs as the last holder of the lease knew them.
	 */
	manage(stores: ReadonlyArray<[name: string, store: StoreTraits]>, fencingNumber: number, handoverEpochs: Readonly<Record<string, number>> = {}): void {
		const lastPublishedAt = this.#lastPublishedAt(fencingNumber);
		// Later on, a new manager only replaces one that failed, whose order may still be in flight: it gets no handover.
		const epochs = this.#managing === undefined ? handoverEpochs : {};
		this.#managing ??= new AbortController();
		const {signal} = this.#managing;
		this.#fencingNumber = fencingNumber;
		for (const [name, store] of stores) {
			if (!this.#managers.has(name)) {
				const manager = new CacheStoreManager(name, store, this.#dependenciesUntil(signal), {lastPublishedAt, handoverEpoch: epochs[name]});
				this.#managers.set(name, manager);
				void this.#run(name, manager, signal);
			}
		}
	}

	/**
	 * Stops all managers. Nothing counts as held from then on: what was collected under the lease must not take effect again
	 * with the next grant.
	 */
	close(): void {
		const now = this.#dependencies.clock.moment().steady;
		if (this.#managing !== undefined) {
			this.#lastManaged = {fencingNumber: this.#fencingNumber, until: now};
		}

		this.#managing?.abort();
		this.#managing = undefined;
		for (const [name, {inventory}] of this.#managers) {
			this.#dependencies.publish(name, inventory.close(now));
		}

		this.#managers.clear();
	}

	/** The epochs of the stores that are known, for the next holder of the lease. */
	epochs(): Record<string, number> {
		return Object.fromEntries([...this.#managers].flatMap(([name, {inventory: {epoch}}]) => epoch === undefined ? [] : [[name, epoch]]));
	}

	/** The engines' clock in milliseconds, if any store has reported it. */
	engineClock(): number | undefined {
		return [...this.#managers.values()].map(({engineClock}) => engineClock).find(clock => clock !== undefined);
	}

	/** Stores that blocks may be saved to and fetched from, and the tokens of the blocks that they offer. */
	openStores(): Array<[store: string, heldTokens: number]> {
		return [...this.#managers].filter(([, {isOpen}]) => isOpen).map(([name, {inventory}]) => [name, inventory.offeredTokens]);
	}

	/** Records that blocks were used. */
	recordUses(keys: readonly string[]): void {
		const now = this.#dependencies.clock.moment().steady;
		for (const {inventory} of this.#managers.values()) {
			for (const key of keys) {
				inventory.markUsed(key, now);
			}
		}
	}

	/**
	 * When blocks of stores were last published that followers may still use: now, where another holder may have published
	 * them, or a failed manager of this instance. But if no store is managed and the fencing number is the same as before, no
	 * other instance held the lease meanwhile, and this instance published last.
	 */
	#lastPublishedAt(fencingNumber: number): number {
		const hasPublishedLast = this.#managing === undefined && this.#lastManaged?.fencingNumber === fencingNumber;
		return hasPublishedLast ? this.#lastManaged!.until : this.#dependencies.clock.moment().steady;
	}

	/**
	 * A call may be in flight when the lease ends. Its result is not published: followers that stay connected would take the
	 * blocks for held after the next grant, though another holder may have freed them.
	 */
	#dependenciesUntil(signal: AbortSignal): CacheStoreManagerDependencies {
		return {
			...this.#dependencies,
			minPauseMilliseconds: () => pausePerStoreMilliseconds * this.#managers.size,
			publish: (store, change) => {
				if (!signal.aborted) {
					this.#dependencies.publish(store, change);
				}
			},
		};
	}

	/** Removes a manager that fails. The next step starts a new one, which relies on nothing that the failed one published. */
	async #run(name: string, manager: CacheStoreManager, signal: AbortSignal): Promise<void> {
		try {
			await manager.run(signal);
		} catch (error) {
			this.#dependencies.log.record('fault', {child: `store-keeper ${name}`, error: String(error)});
			this.#dependencies.publish(name, manager.inventory.close(this.#dependencies.clock.moment().steady));
			this.#managers.delete(name);
		}
	}
}
