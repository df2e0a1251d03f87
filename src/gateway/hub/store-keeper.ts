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
const freeLifeMilliseconds = 400;
/** How often all blocks are checked for those that no engine can use any more. */
const deadCheckMilliseconds = 500;

/** Dependencies of a manager. */
export type KeeperTools = {
	control: CacheStoreControl;
	clock: MomentClock;
	log: DecisionLog;
	/** Minimum pause after events, in milliseconds; the usual pause applies where it is longer. */
	pauseMilliseconds?: () => number;
	/** Whether this instance holds the lease. */
	mayAct(): boolean;
	/** Whether no engine can use the blocks under a salt. */
	isDead(salt: string): boolean;
	tell(store: string, change: BlockChanges): void;
};

export class StoreKeeper {
	readonly ledger: StoreInventory;
	readonly #service: string;
	readonly #store: StoreTraits;
	readonly #tools: KeeperTools;
	#inheritedEpoch: number | undefined;
	#since = 0;
	#deadCheckedAt = Number.NEGATIVE_INFINITY;
	readonly #engineClock = new EngineClock();

	/**
	 * @param service - The name of the store's service.
	 * @param store - Its address and its size.
	 * @param tools - The dependencies.
	 * @param before - When its blocks were last published to followers, in milliseconds of the steady clock, and its epoch as
	 * the manager before knew it: if that is unchanged, the store has not restarted since, and no block in it is being written
	 * again.
	 */
	constructor(service: string, store: StoreTraits, tools: KeeperTools, {believedUntil, inheritedEpoch}: {believedUntil: number; inheritedEpoch: number | undefined}) {
		this.ledger = new StoreInventory(store.capacityTokens);
		this.#service = service;
		this.#store = store;
		this.#tools = tools;
		this.#inheritedEpoch = inheritedEpoch;
		// Followers may still use what the manager before published.
		this.ledger.close(believedUntil);
	}

	/** The engines' clock by this store's last answer, in milliseconds. */
	get engineClock(): number | undefined {
		return this.#engineClock.at(this.#now());
	}

	get isOpen(): boolean {
		return this.ledger.isOpen(this.#now());
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const pause = await this.step();
			await this.#tools.clock.sleep(pause, signal);
		}
	}

	/** Makes the next call; returns the pause after it in milliseconds. */
	async step(): Promise<number> {
		if (this.ledger.epoch === undefined) {
			return this.#inheritedEpoch !== undefined || this.ledger.canOpen(this.#now()) ? this.#open() : retryMilliseconds;
		}

		const answer = await this.#tools.control.events(this.#store.address, this.#since, eventWaitMilliseconds);
		return answer.caseOf({
			Left: async reason => this.#lost(reason),
			Right: async events => this.#take(events),
		});
	}

	async #open(): Promise<number> {
		const listing = await this.#tools.control.list(this.#store.address);
		return listing.caseOf({
			Left: () => retryMilliseconds,
			Right: found => {
				const isUnchanged = found.epoch === this.#inheritedEpoch;
				this.#inheritedEpoch = undefined;
				if (!isUnchanged && !this.ledger.canOpen(this.#now())) {
					return retryMilliseconds;
				}

				if (isUnchanged) {
					this.ledger.reopen();
				}

				this.#since = found.next;
				this.#tools.tell(this.#service, this.ledger.applyListing(found, this.#now()));
				this.#tools.log.record('store-parts', {
					store: this.#service, state: 'open', parts: found.parts.length, partial: found.partial.length, heldTokens: this.ledger.heldTokens,
				});
				return batchMilliseconds;
			},
		});
	}

	async #take(events: StoreEvents): Promise<number> {
		const now = this.#now();
		this.#engineClock.hear(events.clockMilliseconds, now);
		if (events.epoch !== this.ledger.epoch || events.isIncomplete) {
			return this.#lost(events.isIncomplete ? 'events were lost' : 'the store restarted');
		}

		this.#since = events.next;
		this.#tools.tell(this.#service, this.ledger.applyEvents(events, now));
		const isDeadDue = now - this.#deadCheckedAt >= deadCheckMilliseconds;
		this.#deadCheckedAt = isDeadDue ? now : this.#deadCheckedAt;
		this.#tools.tell(this.#service, this.ledger.withdraw(now, isDeadDue ? this.#tools.isDead : undefined));
		await this.#free();
		return Math.max(batchMilliseconds, this.#tools.pauseMilliseconds?.() ?? 0);
	}

	async #free(): Promise<void> {
		const parts = this.ledger.dueToFree(this.#now());
		const clock = this.engineClock;
		const {epoch} = this.ledger;
		if (parts.length === 0 || clock === undefined || epoch === undefined || !this.#tools.mayAct()) {
			return;
		}

		const freed = await this.#tools.control.free(this.#store.address, {parts, epoch, untilMilliseconds: clock + freeLifeMilliseconds});
		freed.caseOf({
			Left: reason => {
				this.#tools.log.record('store-parts', {
					store: this.#service, state: 'not-freed', parts: parts.length, reason,
				});
			},
			Right: () => {
				this.ledger.markFreed(parts);
				this.#tools.log.record('store-parts', {
					store: this.#service, state: 'freed', parts: parts.length, heldTokens: this.ledger.heldTokens,
				});
			},
		});
	}

	#lost(reason: string): number {
		this.#inheritedEpoch = undefined;
		this.#tools.tell(this.#service, this.ledger.close(this.#now()));
		this.#tools.log.record('store-parts', {store: this.#service, state: 'closed', reason});
		return retryMilliseconds;
	}

	#now(): number {
		return this.#tools.clock.moment().steady;
	}
}
