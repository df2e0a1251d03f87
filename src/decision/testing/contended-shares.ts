/** Workspace shares in virtual time: one coordinator, and the part of each instance. */
import {CrowdedServices} from '../shares/crowded-services.js';
import {DemandCounter} from '../shares/demand-counter.js';
import {defaultWorkspaceShare, type CrowdedService, type FractionRow} from '../shares/service-demand.js';
import {ServiceShares} from '../shares/service-shares.js';
import {shareRetryDelay} from '../shares/share-retry-delay.js';
import {type EventQueue} from './event-queue.js';

/** How an instance decides which calls of a workspace are accepted. */
export type ShareWay = 'hash' | 'bucket';

type Call = {attemptId: string; service: string; rank: number; workspace: string; remainingMilliseconds: number};

/** The coordinator's part; it may be lost and replaced, and answer late. */
export class ContendedCoordinator {
	lateMilliseconds = 0;
	readonly #events: EventQueue;
	readonly #shares: ServiceShares;

	constructor(events: EventQueue, slots: () => number) {
		this.#events = events;
		this.#shares = new ServiceShares({slotsOf: slots, shareOf: () => defaultWorkspaceShare});
	}

	replace(): void {
		this.#shares.reset();
	}

	/** Takes the counts of an instance, and responds to it. */
	exchange(instance: ContendedShares): void {
		const {now} = this.#events;
		this.#shares.note(instance.counter.take(now), now);
		const crowded = this.#shares.crowded(now);
		this.#events.at(now + this.lateMilliseconds, () => {
			instance.apply(crowded, now);
		});
	}
}

/** The part of one instance. */
export class ContendedShares {
	readonly counter = new DemandCounter();
	readonly #crowded = new CrowdedServices();
	readonly #buckets = new Map<string, TokenBucket>();
	readonly #way: ShareWay;

	constructor(way: ShareWay) {
		this.#way = way;
	}

	apply(crowded: readonly CrowdedService[], queriedAt: number): void {
		this.#crowded.apply(crowded, queriedAt);
	}

	isCongested(service: string, now: number): boolean {
		return this.#crowded.isCongested(service, now);
	}

	/** Counts a call that arrives; returns `Retry-After` if it is refused. */
	arrive({remainingMilliseconds, ...call}: Call, now: number): number | undefined {
		this.counter.noteRequested(call, now);
		const key = `${call.rank} ${call.workspace}`;
		const bucket = this.#buckets.get(key) ?? new TokenBucket();
		this.#buckets.set(key, bucket);
		bucket.noteRequested(now);
		const crowded = this.#crowded.stateOf(call.service, now);
		const row = crowded?.fractions.find(([rank, workspace]: FractionRow) => rank === call.rank && workspace === call.workspace);
		const isAccepted = row === undefined || (this.#way === 'hash' ? this.#crowded.refusalOf(call, now) === undefined : bucket.take(row[2], now));
		return isAccepted ? undefined : shareRetryDelay({...crowded!, fraction: row[2], remainingMilliseconds}, call.attemptId);
	}
}

/** The part of a share that an instance gets by its part of the demand over its last seconds. */
class TokenBucket {
	readonly #requestedAt: number[] = [];
	#tokens = 1;
	#filledAt = 0;

	noteRequested(now: number): void {
		this.#requestedAt.push(now);
		while (this.#requestedAt[0]! <= now - 1000) {
			this.#requestedAt.shift();
		}
	}

	take(fraction: number, now: number): boolean {
		const perSecond = fraction * this.#requestedAt.length;
		this.#tokens = Math.min(1, this.#tokens + (perSecond * (now - this.#filledAt) / 1000));
		this.#filledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
