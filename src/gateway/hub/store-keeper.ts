/** The hub's care for one cache store: follows its events, tells the followers, and frees what is unused for longest. */
import {type CacheStoreControl, type StoreEvents} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type PartsChange, StoreLedger} from '../../protocol/parts/store-ledger.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {EngineClock} from './engine-clock.js';

/** How long a call for events may wait; events come at once. */
const eventWaitMilliseconds = 800;
/** Pause behind events, so that those of a busy moment are told together. */
const batchMilliseconds = 60;
/** Pause behind a failed call. */
const retryMilliseconds = 250;
/** A free order is void behind this time, so that it cannot come into force when the duty has passed on. */
const freeLifeMilliseconds = 400;
/** How often all parts are looked through for those that no engine can use any more. */
const deadCheckMilliseconds = 500;

/** What a keeper is given. */
export type KeeperTools = {
	control: CacheStoreControl;
	clock: MomentClock;
	log: DecisionLog;
	/** How long a store is left alone behind events, where that is more than the usual time. */
	pauseMilliseconds?: () => number;
	/** Whether this instance may act for the duty. */
	mayAct(): boolean;
	/** Whether no engine can use what lies under a salt. */
	isDead(salt: string): boolean;
	tell(store: string, change: PartsChange): void;
};

export class StoreKeeper {
	readonly ledger: StoreLedger;
	readonly #service: string;
	readonly #store: StoreTraits;
	readonly #tools: KeeperTools;
	#inheritedEpoch: number | undefined;
	#since = 0;
	#deadCheckedAt = Number.NEGATIVE_INFINITY;
	readonly #engineClock = new EngineClock();

	/**
	 * @param service - The name of the store's service.
	 * @param store - Where it is, and its size.
	 * @param tools - What a keeper is given.
	 * @param before - When followers were last told of it, in milliseconds of the steady clock, and its epoch as the keeper
	 * before knew it: if that is still the same, the store has not restarted since, and nothing in it is written anew.
	 */
	constructor(service: string, store: StoreTraits, tools: KeeperTools, {believedUntil, inheritedEpoch}: {believedUntil: number; inheritedEpoch: number | undefined}) {
		this.ledger = new StoreLedger(store.capacityTokens);
		this.#service = service;
		this.#store = store;
		this.#tools = tools;
		this.#inheritedEpoch = inheritedEpoch;
		// Whatever the last keeper told may still be believed.
		this.ledger.close(believedUntil);
	}

	/** The engines' clock by this store's last word, in milliseconds. */
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

	/** Makes the next call; gives the pause behind it in milliseconds. */
	async step(): Promise<number> {
		if (this.ledger.epoch === undefined) {
			return this.#inheritedEpoch !== undefined || this.ledger.mayOpen(this.#now()) ? this.#open() : retryMilliseconds;
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
				if (!isUnchanged && !this.ledger.mayOpen(this.#now())) {
					return retryMilliseconds;
				}

				if (isUnchanged) {
					this.ledger.reopen();
				}

				this.#since = found.next;
				this.#tools.tell(this.#service, this.ledger.takeListing(found, this.#now()));
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
		this.#tools.tell(this.#service, this.ledger.takeEvents(events, now));
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
				this.ledger.freed(parts);
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
