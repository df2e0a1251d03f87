/**
 * Manages one cache store for the coordinator: follows its events, publishes them to the followers, and evicts the least
 * recently used blocks.
 */
import {type CacheStoreControl, type StoreEvents} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type BlockChanges, StoreInventory} from '../../protocol/blocks/store-inventory.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {EngineClock} from './engine-clock.js';

/** How long a call for events may wait; events are returned at once. */
const eventWaitMilliseconds = 800;
/** Pause after events, so that those of a burst are published together. */
const batchMilliseconds = 60;
/** Pause after a failed call. */
const retryMilliseconds = 250;
/** An order to free blocks is void after this time, so that it cannot take effect when another instance holds the lease. */
const freeOrderLifetimeMilliseconds = 400;
/** How often all blocks are checked for those that no engine can use any more. */
const expiryCheckIntervalMilliseconds = 500;

/** Dependencies of a manager. */
export type CacheStoreManagerDependencies = {
	control: CacheStoreControl;
	clock: MomentClock;
	log: DecisionLog;
	/** Minimum pause after events, in milliseconds; the usual pause applies where it is longer. */
	minPauseMilliseconds?: () => number;
	/** Whether this instance holds the lease. */
	holdsLease(): boolean;
	/** Whether no engine can use the blocks under a salt. */
	isExpired(salt: string): boolean;
	publish(store: string, change: BlockChanges): void;
};

export class CacheStoreManager {
	readonly inventory: StoreInventory;
	readonly #service: string;
	readonly #store: StoreTraits;
	readonly #dependencies: CacheStoreManagerDependencies;
	#handoverEpoch: number | undefined;
	#since = 0;
	#expiryCheckedAt = Number.NEGATIVE_INFINITY;
	readonly #engineClock = new EngineClock();

	/**
	 * @param service - The name of the store's service.
	 * @param store - Its address and its size.
	 * @param dependencies - The dependencies.
	 * @param previous - When its blocks were last published to followers, in milliseconds of the steady clock, and its epoch
	 * as the previous manager knew it: if that is unchanged, the store has not restarted since, and no block in it is being
	 * written again.
	 */
	constructor(service: string, store: StoreTraits, dependencies: CacheStoreManagerDependencies, {lastPublishedAt, handoverEpoch}: {lastPublishedAt: number; handoverEpoch: number | undefined}) {
		this.inventory = new StoreInventory(store.capacityTokens);
		this.#service = service;
		this.#store = store;
		this.#dependencies = dependencies;
		this.#handoverEpoch = handoverEpoch;
		// Followers may still use what the previous manager published.
		this.inventory.close(lastPublishedAt);
	}

	/** The engines' clock by this store's last answer, in milliseconds. */
	get engineClock(): number | undefined {
		return this.#engineClock.at(this.#now());
	}

	get isOpen(): boolean {
		return this.inventory.isOpen(this.#now());
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const pause = await this.step();
			await this.#dependencies.clock.sleep(pause, signal);
		}
	}

	/** Makes the next call; returns the pause after it in milliseconds. */
	async step(): Promise<number> {
		if (this.inventory.epoch === undefined) {
			return this.#handoverEpoch !== undefined || this.inventory.canOpen(this.#now()) ? this.#open() : retryMilliseconds;
		}

		const answer = await this.#dependencies.control.events(this.#store.address, this.#since, eventWaitMilliseconds);
		return answer.caseOf({
			Left: async reason => this.#closeStore(reason),
			Right: async events => this.#applyEvents(events),
		});
	}

	async #open(): Promise<number> {
		const listing = await this.#dependencies.control.list(this.#store.address);
		return listing.caseOf({
			Left: () => retryMilliseconds,
			Right: found => {
				const isUnchanged = found.epoch === this.#handoverEpoch;
				this.#handoverEpoch = undefined;
				if (!isUnchanged && !this.inventory.canOpen(this.#now())) {
					return retryMilliseconds;
				}

				if (isUnchanged) {
					this.inventory.reopen();
				}

				this.#since = found.next;
				this.#dependencies.publish(this.#service, this.inventory.applyListing(found, this.#now()));
				this.#dependencies.log.record('store-parts', {
					store: this.#service, state: 'open', parts: found.parts.length, partial: found.partial.length, heldTokens: this.inventory.heldTokens,
				});
				return batchMilliseconds;
			},
		});
	}

	async #applyEvents(events: StoreEvents): Promise<number> {
		const now = this.#now();
		this.#engineClock.record(events.clockMilliseconds, now);
		if (events.epoch !== this.inventory.epoch || events.isIncomplete) {
			return this.#closeStore(events.isIncomplete ? 'events were lost' : 'the store restarted');
		}

		this.#since = events.next;
		this.#dependencies.publish(this.#service, this.inventory.applyEvents(events, now));
		const isExpiryCheckDue = now - this.#expiryCheckedAt >= expiryCheckIntervalMilliseconds;
		this.#expiryCheckedAt = isExpiryCheckDue ? now : this.#expiryCheckedAt;
		this.#dependencies.publish(this.#service, this.inventory.withdraw(now, isExpiryCheckDue ? this.#dependencies.isExpired : undefined));
		await this.#free();
		return Math.max(batchMilliseconds, this.#dependencies.minPauseMilliseconds?.() ?? 0);
	}

	async #free(): Promise<void> {
		const blocks = this.inventory.dueToFree(this.#now());
		const clock = this.engineClock;
		const {epoch} = this.inventory;
		if (blocks.length === 0 || clock === undefined || epoch === undefined || !this.#dependencies.holdsLease()) {
			return;
		}

		const freed = await this.#dependencies.control.free(this.#store.address, {parts: blocks, epoch, untilMilliseconds: clock + freeOrderLifetimeMilliseconds});
		freed.caseOf({
			Left: reason => {
				this.#dependencies.log.record('store-parts', {
					store: this.#service, state: 'not-freed', parts: blocks.length, reason,
				});
			},
			Right: () => {
				this.inventory.markFreed(blocks);
				this.#dependencies.log.record('store-parts', {
					store: this.#service, state: 'freed', parts: blocks.length, heldTokens: this.inventory.heldTokens,
				});
			},
		});
	}

	#closeStore(reason: string): number {
		this.#handoverEpoch = undefined;
		this.#dependencies.publish(this.#service, this.inventory.close(this.#now()));
		this.#dependencies.log.record('store-parts', {store: this.#service, state: 'closed', reason});
		return retryMilliseconds;
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
