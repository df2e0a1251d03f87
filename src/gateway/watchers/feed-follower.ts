/**
 * Follows one table of the store: reads the whole table, then waits for changes until it is stopped.
 *
 * Each answered call, also one without changes, confirms the state of the table as of the time when the call was sent;
 * leases on that state are renewed from that time. A call that hangs confirms nothing: it times out on a connection of its
 * own. When the feed no longer holds the changes after the last position, the whole table is read again, because changes in
 * between would be missed. The same applies when the store was restored from an older copy: it assigns positions a second
 * time, so changes up to the last position would never be delivered.
 *
 * With hundreds of instances, one of them, the reader, calls the store for all: it relays to the others what changed and
 * the age of the confirmation, and they make no calls while that age is small. When the reader fails, stalls, is
 * partitioned or is refused by the store, the age grows, and each instance calls the store itself again after a random
 * delay.
 */
import {longestElapsed, type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {type FeedAnswer, type FeedFailure, type TableFeed} from '../../ports/table-feed.js';
import {type Child} from '../../supervisor/supervisor.js';
import {reRegistrationMilliseconds} from '../endpoints/endpoint-registry.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {FeedHistory} from './feed-history.js';
import {
	type Arrival, type FeedNews, type FeedPlace, type FeedReader,
} from './feed-news.js';

/** The table to follow, and how long a call may wait for changes. */
export type FeedPlan = {
	table: string;
	waitMilliseconds: number;
	/** The same for the reader: what it relays is as old as its last call. */
	readerWaitMilliseconds: number;
	/** An instance whose latest relayed confirmation is older than this calls the store itself. */
	relayLapseMilliseconds: number;
};

export type FeedTools = {
	clock: MomentClock;
	log: DecisionLog;
	random: () => number;
	/** Whether this instance is the reader, which calls the store for the others. */
	isReader?: () => boolean;
	/** Whether it becomes the reader when the present one fails. */
	isStandby?: () => boolean;
};

/** Delay after the first failed call; doubles up to the maximum. Short, because the state goes stale meanwhile. */
const firstPauseMilliseconds = 100;
const longestPauseMilliseconds = 800;
/** Jitter of a delay, so that instances that lost the store at the same time do not retry at the same time. */
const jitterShare = 0.5;
/** Delay after a call that returned changes: while many rows change, the next call returns them in one batch. */
const batchMilliseconds = 60;
/** How often an instance that gets relayed updates checks whether it has become the reader. */
const longestRelayWaitMilliseconds = 400;
/** The same for the standby reader: its updates must reach the others before their last confirmation is too old. */
const standbyWaitMilliseconds = 80;
/** Instances that get no more relayed updates start to call the store spread over this time. */
const relaySpreadMilliseconds = 300;
/** An older failure of the reader does not explain why a row disappears now, and is ignored. */
const failureLifeMilliseconds = 4000;

export class FeedFollower implements Child {
	readonly name: string;
	readonly #feed: TableFeed;
	readonly #plan: FeedPlan;
	readonly #reader: FeedReader;
	readonly #tools: FeedTools;
	readonly #history = new FeedHistory();
	readonly #spreadMilliseconds: number;
	#place: FeedPlace | undefined;
	/** The latest era that was seen, also while there is no cursor. */
	#era: number | undefined;
	/** When the call was sent whose answer confirmed the cursor. */
	#provenAt: Moment | undefined;
	/** The same, for a confirmation that another instance relayed. */
	#relayedAt: Moment | undefined;
	#failedAt: Moment | undefined;
	/** Until when, on the steady clock, a restored store may lack rows that are still to be rewritten. */
	#restoredUntil = Number.NEGATIVE_INFINITY;
	#mustRead = true;
	/** Whether this instance was the reader at the last call. */
	#wasReader = false;
	#wake: AbortController | undefined;
	#pause = 0;
	#isLost = false;

	constructor(feed: TableFeed, plan: FeedPlan, reader: FeedReader, tools: FeedTools) {
		this.name = `feed-${plan.table}`;
		this.#feed = feed;
		this.#plan = plan;
		this.#reader = reader;
		this.#tools = tools;
		this.#spreadMilliseconds = relaySpreadMilliseconds * tools.random();
	}

	/** Era and position up to which the table was read; absent before the first read. */
	get place(): FeedPlace | undefined {
		return this.#place;
	}

	get table(): string {
		return this.#plan.table;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#tools;
		while (!signal.aborted) {
			const relayMilliseconds = this.#relayLeft(clock.moment());
			if (relayMilliseconds > 0) {
				await this.#awaitRelay(relayMilliseconds, signal);
				continue;
			}

			await this.step();
			if (this.#pause > 0) {
				await clock.sleep(this.#pause * (1 - (jitterShare * random())), signal);
			}
		}
	}

	/** Makes one call to the store and applies its answer. */
	async step(): Promise<void> {
		const {clock} = this.#tools;
		const {table} = this.#plan;
		const sentAt = clock.moment();
		const place = this.#place;
		this.#mustRead = false;
		const answer = place === undefined
			? await this.#feed.readSnapshot(table)
			: await this.#feed.follow({table, after: place.position, waitMilliseconds: this.#nextWait()});
		answer.caseOf({
			Left: failure => {
				this.#failed(failure);
			},
			Right: (found: FeedAnswer) => {
				this.#answered(found);
				this.#noteEra(found.era);
				if (place === undefined) {
					this.#takeWhole(found, sentAt);
				} else {
					this.#takeChanges(found, sentAt, 'live');
				}
			},
		});
	}

	/**
	 * Applies an update that the reader relayed.
	 *
	 * @param news - The update of this table.
	 * @param askedAt - When the query was sent that it answers; the table is confirmed as of this time less the update's age.
	 */
	takeRelayed(news: FeedNews, askedAt: Moment): void {
		if (news.failedMilliseconds !== undefined && news.failedMilliseconds < failureLifeMilliseconds) {
			this.#reader.takeFailure(before(askedAt, news.failedMilliseconds));
		}

		if (this.#place?.era !== news.era || (news.rows === undefined && news.position > this.#place.position)) {
			this.#mustRead = true;
			this.#wake?.abort();
			return;
		}

		const provenAt = before(askedAt, news.ageMilliseconds);
		if (this.#relayedAt === undefined || provenAt.steady > this.#relayedAt.steady) {
			this.#relayedAt = provenAt;
		}

		this.#takeChanges({...news, rows: news.rows ?? []}, provenAt, 'relayed');
	}

	/** Returns the update for an instance with the given cursor; `undefined` while nothing is confirmed. */
	newsFor({era, position}: FeedPlace): FeedNews | undefined {
		const now = this.#tools.clock.moment();
		if (this.#place === undefined || this.#provenAt === undefined || now.steady < this.#restoredUntil) {
			return undefined;
		}

		const rows = era === this.#place.era ? this.#history.behind(position) : undefined;
		return {
			table: this.#plan.table,
			...this.#place,
			...(rows === undefined ? {} : {rows}),
			ageMilliseconds: longestElapsed(this.#provenAt, now),
			...(this.#failedAt === undefined ? {} : {failedMilliseconds: longestElapsed(this.#failedAt, now)}),
		};
	}

	/** How long the next call may wait. A new reader's first call returns at once, since the others wait for a confirmation. */
	#nextWait(): number {
		const {waitMilliseconds, readerWaitMilliseconds} = this.#plan;
		const isReader = this.#tools.isReader?.() ?? false;
		const isFirst = isReader && !this.#wasReader;
		this.#wasReader = isReader;
		if (!isReader) {
			return waitMilliseconds;
		}

		return isFirst ? 0 : readerWaitMilliseconds;
	}

	/** Milliseconds for which the latest relayed confirmation makes calls of this instance unnecessary. */
	#relayLeft(now: Moment): number {
		const isReader = this.#tools.isReader?.() ?? false;
		return this.#mustRead || isReader || this.#relayedAt === undefined
			? 0
			: this.#plan.relayLapseMilliseconds + this.#spreadMilliseconds - longestElapsed(this.#relayedAt, now);
	}

	/** Waits until the relayed confirmation is too old, the table has to be read, or the next check of this instance's role. */
	async #awaitRelay(milliseconds: number, signal: AbortSignal): Promise<void> {
		const longest = this.#tools.isStandby?.() ? standbyWaitMilliseconds : longestRelayWaitMilliseconds;
		const wake = new AbortController();
		this.#wake = wake;
		const stop = (): void => {
			wake.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		await this.#tools.clock.sleep(Math.min(milliseconds, longest), wake.signal);
		signal.removeEventListener('abort', stop);
	}

	#takeWhole({rows, position, era}: FeedAnswer, sentAt: Moment): void {
		const now = this.#tools.clock.moment();
		this.#place = {position, era};
		this.#provenAt = sentAt;
		this.#history.begin(position);
		this.#reader.takeWhole(rows, sentAt, now, now.steady < this.#restoredUntil ? 'restored' : 'live');
	}

	/** Skips rows that another source has already delivered, and all rows if the cursor was reset or is of another era. */
	#takeChanges({rows, position, era}: FeedAnswer, provenAt: Moment, arrival: Arrival): void {
		const known = this.#place;
		if (known?.era !== era) {
			return;
		}

		const now = this.#tools.clock.moment();
		const news = rows.filter(({revision}) => revision > known.position);
		this.#place = {position: Math.max(known.position, position), era};
		this.#provenAt = this.#provenAt === undefined || provenAt.steady > this.#provenAt.steady ? provenAt : this.#provenAt;
		this.#history.add(news, this.#place.position, now.steady);
		this.#pause = news.length > 0 ? batchMilliseconds : 0;
		this.#reader.takeChanges(news, provenAt, now, now.steady < this.#restoredUntil ? 'restored' : arrival);
	}

	/**
	 * A new era resets the cursor, so that the whole table is read. Live writers rewrite the rows that the store has lost within
	 * some seconds; until then its answers confirm nothing.
	 */
	#noteEra(era: number): void {
		const formerEra = this.#era;
		this.#era = era;
		if (formerEra === undefined || formerEra === era) {
			return;
		}

		const now = this.#tools.clock.moment();
		this.#place = undefined;
		this.#restoredUntil = now.steady + reRegistrationMilliseconds;
		this.#reader.takeFailure(now);
		this.#tools.log.record('store-restored', {table: this.#plan.table, era, formerEra});
	}

	#answered({era}: FeedAnswer): void {
		this.#pause = 0;
		if (this.#isLost) {
			this.#isLost = false;
			this.#tools.log.record('dependency-regained', {dependency: 'store', table: this.#plan.table, era});
		}
	}

	#failed(failure: FeedFailure): void {
		if (failure.kind === 'history-lost') {
			this.#place = undefined;
			this.#pause = 0;
			this.#tools.log.record('dependency-lost', {dependency: 'store-history', table: this.#plan.table});
			return;
		}

		this.#pause = Math.min(longestPauseMilliseconds, Math.max(firstPauseMilliseconds, this.#pause * 2));
		this.#failedAt = this.#tools.clock.moment();
		this.#reader.takeFailure(this.#failedAt);
		if (!this.#isLost) {
			this.#isLost = true;
			this.#tools.log.record('dependency-lost', {
				dependency: 'store', table: this.#plan.table, failure: failure.kind, detail: 'detail' in failure ? failure.detail : undefined,
			});
		}
	}
}

function before({steady, wall}: Moment, milliseconds: number): Moment {
	return {steady: steady - milliseconds, wall: wall - milliseconds};
}
