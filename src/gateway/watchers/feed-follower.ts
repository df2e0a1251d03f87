/**
 * Follows one table of the store: reads the whole table, then waits for changes until it is stopped.
 *
 * Each answered call, also one without changes, confirms the state of the table as of the time when the call was sent;
 * leases on that state are renewed from that time. A call that hangs confirms nothing: it times out on a connection of its
 * own. When the feed no longer holds the changes after the last position, the whole table is read again, because changes in
 * between would be missed. The same applies when the store was restored from an older copy: it assigns positions a second
 * time, so changes up to the last position would never be delivered.
 *
 * An instance that starts cannot know how long ago a store was restored that has ever been. It takes what it reads first for what a
 * store shows that has just been restored, and reads the table once more after the time in which live writers rewrite their rows.
 *
 * With hundreds of instances, one of them, the reader, calls the store for all: it relays to the others what changed and
 * the age of the confirmation, and they make no calls while that age is small. When the reader fails, stalls, is
 * partitioned or is refused by the store, the age grows, and each instance calls the store itself again after a random
 * delay.
 */
import {longestElapsed, type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {type FeedAnswer, type FeedFailure, type TableFeed} from '../../ports/table-feed.js';
import {type Child} from '../../supervisor/supervisor.js';
import {alignedDelay} from '../../shared/aligned-delay.js';
import {alignedPart} from '../../shared/aligned-part.js';
import {reRegistrationMilliseconds} from '../endpoints/endpoint-registry.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {FeedHistory} from './feed-history.js';
import {SharedWait} from './shared-wait.js';
import {
	type Arrival, type FeedUpdate, type FeedCursor, type FeedHandler,
} from './feed-update.js';

/** The table to follow, and how long a call may wait for changes. */
export type FeedOptions = {
	table: string;
	waitMilliseconds: number;
	/** The same for the reader: what it relays is as old as its last call. */
	readerWaitMilliseconds: number;
	/** An instance whose latest relayed confirmation is older than this calls the store itself. */
	maxRelayedAgeMilliseconds: number;
};

/** What an instance does for the others: as the reader it calls the store for them, as the standby it may have to at any time. */
type FeedRole = 'reader' | 'standby' | 'other';

export type FeedDependencies = {
	clock: MomentClock;
	log: DecisionLog;
	random: () => number;
	/** Whether this instance is the reader, which calls the store for the others. */
	isReader?: () => boolean;
	/** Whether it becomes the reader when the present one fails. */
	isStandby?: () => boolean;
	/** The wait that all followers of an instance share. */
	sharedWait?: SharedWait;
};

/** Delay after the first failed call; doubles up to the maximum. Short, because the state goes stale meanwhile. */
const firstRetryDelayMilliseconds = 100;
const maxRetryDelayMilliseconds = 800;
/**
 * The same while the reader reports that the store does not answer it either. It goes on calling and relays the first answer, so
 * this instance calls only in case the reader alone still fails then.
 */
const firstRetryDelayBesideReaderMilliseconds = 1000;
const maxRetryDelayBesideReaderMilliseconds = 4000;
/** A reader that has not reported for this long may have ended. */
const readerReportValidityMilliseconds = 1000;
/** Jitter of a delay, so that instances that lost the store at the same time do not retry at the same time. */
const jitterShare = 0.5;
/** Delay of the reader after a call that returned changes: while many rows change, the next call returns them in one batch. */
const readerBatchDelayMilliseconds = 60;
/**
 * The same for all others, about as long as relayed updates take. While there is no reader, as after all instances have lost their
 * power, hundreds of instances would otherwise call the store for each heartbeat of an endpoint.
 */
const batchDelayMilliseconds = 250;
/**
 * How often the standby reader checks whether it has become the reader: its updates must reach the others before their last
 * confirmation is too old. Others become the reader only with a lease, which the next answer to a query shows them.
 */
const standbyRoleCheckMilliseconds = 80;
/**
 * The longest wait of the others. The age of a confirmation is checked at this interval because it may jump: a timer does not
 * notice for how long the machine was suspended, or that the wall clock was set.
 */
const maxWaitMilliseconds = 400;
/** Waits for the age of a confirmation end on multiples of this, like other periodic work, where that is earlier. */
const gridMilliseconds = 100;
/** The era of a store that was never restored. */
const firstEra = 0;
/** Instances that get no more relayed updates start to call the store spread over this time. */
const fallbackSpreadMilliseconds = 300;
/** An older failure of the reader does not explain why a row disappears now, and is ignored. */
const maxFailureAgeMilliseconds = 4000;

export class FeedFollower implements Child {
	readonly name: string;
	readonly #feed: TableFeed;
	readonly #options: FeedOptions;
	readonly #handler: FeedHandler;
	readonly #dependencies: FeedDependencies;
	readonly #history = new FeedHistory();
	readonly #fallbackDelayMilliseconds: number;
	#cursor: FeedCursor | undefined;
	/** The latest era that was seen, also while there is no cursor. */
	#era: number | undefined;
	/** When the call was sent whose answer confirmed the cursor. */
	#confirmedAt: Moment | undefined;
	/** The same, for a confirmation that another instance relayed. */
	#relayConfirmedAt: Moment | undefined;
	#failedAt: Moment | undefined;
	/** When the reader last reported that the store does not answer it, in milliseconds of the steady clock. */
	#readerFailingAt = Number.NEGATIVE_INFINITY;
	/** Until when, on the steady clock, a restored store may lack rows that are still to be rewritten. */
	#restoredUntil = Number.NEGATIVE_INFINITY;
	/** When the whole table is read again, on the steady clock. */
	#rereadAt = Number.POSITIVE_INFINITY;
	#mustRead = true;
	/** Whether this instance was the reader at the last call. */
	#wasReader = false;
	/** The role of this instance at the begin of the last wait. */
	#waitingRole: FeedRole = 'other';
	readonly #sharedWait: SharedWait;
	#delayMilliseconds = 0;
	#isStoreUnavailable = false;

	constructor(feed: TableFeed, options: FeedOptions, handler: FeedHandler, dependencies: FeedDependencies) {
		this.name = `feed-${options.table}`;
		this.#feed = feed;
		this.#options = options;
		this.#handler = handler;
		this.#dependencies = dependencies;
		this.#sharedWait = dependencies.sharedWait ?? new SharedWait(dependencies.clock);
		this.#fallbackDelayMilliseconds = fallbackSpreadMilliseconds * dependencies.random();
	}

	/** Era and position up to which the table was read; absent before the first read. */
	get cursor(): FeedCursor | undefined {
		return this.#cursor;
	}

	get table(): string {
		return this.#options.table;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#dependencies;
		while (!signal.aborted) {
			const remainingMilliseconds = this.#remainingRelayValidity(clock.moment());
			if (remainingMilliseconds > 0) {
				await this.#waitWhileRelayed(remainingMilliseconds, signal);
				continue;
			}

			await this.step();
			if (this.#delayMilliseconds > 0) {
				await clock.sleep(this.#delayMilliseconds * (1 - (jitterShare * random())), signal);
			}
		}
	}

	/** Makes one call to the store and applies its answer. */
	async step(): Promise<void> {
		const {clock} = this.#dependencies;
		const {table} = this.#options;
		const sentAt = clock.moment();
		if (sentAt.steady >= this.#rereadAt) {
			this.#rereadAt = Number.POSITIVE_INFINITY;
			this.#cursor = undefined;
		}

		const cursor = this.#cursor;
		this.#mustRead = false;
		const answer = cursor === undefined
			? await this.#feed.readSnapshot(table)
			: await this.#feed.follow({table, after: cursor.position, waitMilliseconds: this.#nextWait()});
		answer.caseOf({
			Left: failure => {
				this.#noteFailure(failure);
			},
			Right: (found: FeedAnswer) => {
				this.#noteAnswer(found);
				this.#noteEra(found.era);
				if (cursor === undefined) {
					this.#applySnapshot(found, sentAt);
				} else {
					this.#applyChanges(found, sentAt, 'live');
				}
			},
		});
	}

	/** Ends the waits of all tables if this instance has another role than at the begin of the last one. */
	noteRole(): void {
		if (this.#role !== this.#waitingRole) {
			this.#sharedWait.end();
		}
	}

	/**
	 * Applies an update that the reader relayed.
	 *
	 * @param update - The update of this table.
	 * @param queriedAt - When the query was sent that it answers; the table is confirmed as of this time less the update's age.
	 */
	applyUpdate(update: FeedUpdate, queriedAt: Moment): void {
		this.noteRole();
		if (update.failedMilliseconds !== undefined && update.failedMilliseconds < maxFailureAgeMilliseconds) {
			// Without an answer since, the reader still fails.
			this.#readerFailingAt = update.ageMilliseconds > update.failedMilliseconds ? this.#dependencies.clock.moment().steady : Number.NEGATIVE_INFINITY;
			this.#handler.handleFailure(momentBefore(queriedAt, update.failedMilliseconds));
		}

		if (this.#cursor?.era !== update.era || (update.rows === undefined && update.position > this.#cursor.position)) {
			this.#mustRead = true;
			this.#sharedWait.end();
			return;
		}

		const confirmedAt = momentBefore(queriedAt, update.ageMilliseconds);
		if (this.#relayConfirmedAt === undefined || confirmedAt.steady > this.#relayConfirmedAt.steady) {
			this.#relayConfirmedAt = confirmedAt;
		}

		this.#applyChanges({...update, rows: update.rows ?? []}, confirmedAt, 'relayed');
	}

	/** Returns the update for an instance with the given cursor; `undefined` while nothing is confirmed. */
	updateFor({era, position}: FeedCursor): FeedUpdate | undefined {
		const now = this.#dependencies.clock.moment();
		if (this.#cursor === undefined || this.#confirmedAt === undefined || now.steady < this.#restoredUntil) {
			return undefined;
		}

		const rows = era === this.#cursor.era ? this.#history.rowsAfter(position) : undefined;
		return {
			table: this.#options.table,
			...this.#cursor,
			...(rows === undefined ? {} : {rows}),
			ageMilliseconds: longestElapsed(this.#confirmedAt, now),
			...(this.#failedAt === undefined ? {} : {failedMilliseconds: longestElapsed(this.#failedAt, now)}),
		};
	}

	/** How long the next call may wait. A new reader's first call returns at once, since the others wait for a confirmation. */
	#nextWait(): number {
		const {waitMilliseconds, readerWaitMilliseconds} = this.#options;
		const isReader = this.#dependencies.isReader?.() ?? false;
		const isFirst = isReader && !this.#wasReader;
		this.#wasReader = isReader;
		if (!isReader) {
			return waitMilliseconds;
		}

		return isFirst ? 0 : readerWaitMilliseconds;
	}

	/** Milliseconds for which the latest relayed confirmation makes calls of this instance unnecessary. */
	#remainingRelayValidity(now: Moment): number {
		const isReader = this.#dependencies.isReader?.() ?? false;
		return this.#mustRead || isReader || this.#relayConfirmedAt === undefined
			? 0
			: this.#options.maxRelayedAgeMilliseconds + this.#fallbackDelayMilliseconds - longestElapsed(this.#relayConfirmedAt, now);
	}

	get #role(): FeedRole {
		const {isReader, isStandby} = this.#dependencies;
		return isReader?.() ? 'reader' : (isStandby?.() ? 'standby' : 'other');
	}

	/** Waits until the relayed confirmation is too old, the table has to be read, or this instance may have another role. */
	async #waitWhileRelayed(milliseconds: number, signal: AbortSignal): Promise<void> {
		const now = this.#dependencies.clock.moment().steady;
		this.#waitingRole = this.#role;
		const untilCheck = alignedDelay(now, this.#waitingRole === 'standby' ? standbyRoleCheckMilliseconds : maxWaitMilliseconds);
		await this.#sharedWait.wait(Math.min(untilCheck, alignedPart(now, milliseconds, gridMilliseconds)), signal);
	}

	#applySnapshot({rows, position, era}: FeedAnswer, sentAt: Moment): void {
		const now = this.#dependencies.clock.moment();
		this.#cursor = {position, era};
		this.#confirmedAt = sentAt;
		this.#history.reset(position);
		this.#handler.handleSnapshot(rows, sentAt, now, now.steady < this.#restoredUntil ? 'restored' : 'live');
	}

	/** Skips rows that another source has already delivered, and all rows if the cursor was reset or is of another era. */
	#applyChanges({rows, position, era}: FeedAnswer, confirmedAt: Moment, arrival: Arrival): void {
		const current = this.#cursor;
		if (current?.era !== era) {
			return;
		}

		const now = this.#dependencies.clock.moment();
		const newRows = rows.filter(({revision}) => revision > current.position);
		this.#cursor = {position: Math.max(current.position, position), era};
		this.#confirmedAt = this.#confirmedAt === undefined || confirmedAt.steady > this.#confirmedAt.steady ? confirmedAt : this.#confirmedAt;
		this.#history.add(newRows, this.#cursor.position, now.steady);
		// An update that the reader relays says nothing about calls of this instance.
		if (arrival === 'live') {
			this.#delayMilliseconds = newRows.length > 0 ? this.#batchDelay() : 0;
		}

		this.#handler.handleChanges(newRows, confirmedAt, now, now.steady < this.#restoredUntil ? 'restored' : arrival);
	}

	#batchDelay(): number {
		return this.#dependencies.isReader?.() ?? false ? readerBatchDelayMilliseconds : batchDelayMilliseconds;
	}

	/**
	 * A new era resets the cursor, so that the whole table is read. Live writers rewrite the rows that the store has lost within
	 * some seconds; until then its answers confirm nothing.
	 */
	#noteEra(era: number): void {
		const formerEra = this.#era;
		this.#era = era;
		if (formerEra === era) {
			return;
		}

		const now = this.#dependencies.clock.moment();
		if (formerEra === undefined) {
			if (era > firstEra) {
				this.#restoredUntil = now.steady + reRegistrationMilliseconds;
				this.#rereadAt = this.#restoredUntil;
				this.#dependencies.log.record('store-restored', {table: this.#options.table, era});
			}

			return;
		}

		this.#cursor = undefined;
		this.#restoredUntil = now.steady + reRegistrationMilliseconds;
		this.#handler.handleFailure(now);
		this.#dependencies.log.record('store-restored', {table: this.#options.table, era, formerEra});
	}

	#noteAnswer({era}: FeedAnswer): void {
		this.#delayMilliseconds = 0;
		if (this.#isStoreUnavailable) {
			this.#isStoreUnavailable = false;
			this.#dependencies.log.record('dependency-regained', {dependency: 'store', table: this.#options.table, era});
		}
	}

	#noteFailure(failure: FeedFailure): void {
		if (failure.kind === 'history-lost') {
			this.#cursor = undefined;
			this.#delayMilliseconds = 0;
			this.#dependencies.log.record('dependency-lost', {dependency: 'store-history', table: this.#options.table});
			return;
		}

		this.#failedAt = this.#dependencies.clock.moment();
		const isReaderFailing = this.#failedAt.steady - this.#readerFailingAt < readerReportValidityMilliseconds;
		const [first, max] = isReaderFailing
			? [firstRetryDelayBesideReaderMilliseconds, maxRetryDelayBesideReaderMilliseconds]
			: [firstRetryDelayMilliseconds, maxRetryDelayMilliseconds];
		this.#delayMilliseconds = Math.min(max, Math.max(first, this.#delayMilliseconds * 2));
		this.#handler.handleFailure(this.#failedAt);
		if (!this.#isStoreUnavailable) {
			this.#isStoreUnavailable = true;
			this.#dependencies.log.record('dependency-lost', {
				dependency: 'store', table: this.#options.table, failure: failure.kind, detail: 'detail' in failure ? failure.detail : undefined,
			});
		}
	}
}

function momentBefore({steady, wall}: Moment, milliseconds: number): Moment {
	return {steady: steady - milliseconds, wall: wall - milliseconds};
}
