/**
 * Follows one table of the store: reads it whole, then waits for what changes, for ever.
 *
 * Each answered call, also one without changes, proves that the table stood so when the call was sent; whoever holds a
 * lease on that knowledge renews it from there. A call that hangs proves nothing and is given up after its own time limit,
 * on a connection of its own. When the feed has forgotten what came behind the last position, the table is read whole
 * again: changes in between would be missed otherwise. The same holds where the store has come back from an older copy: it
 * gives positions out again, and what was written up to the last position would never be told.
 *
 * With hundreds of instances, one of them reads for all: the others hear from it what changed and how old its proof is, and
 * make no calls as long as that is recent. When it dies, stalls, is cut off or is turned away by the store, the age grows,
 * and each of them reads for itself again, spread over a moment.
 */
import {longestElapsed, type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {type FeedAnswer, type FeedFailure, type TableFeed} from '../../ports/table-feed.js';
import {type Child} from '../../supervisor/supervisor.js';
import {reappearanceMilliseconds} from '../endpoints/endpoint-registry.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {FeedHistory} from './feed-history.js';
import {
	type Arrival, type FeedNews, type FeedPlace, type FeedReader,
} from './feed-news.js';

/** Which table, and how long a call may wait for changes. */
export type FeedPlan = {
	table: string;
	waitMilliseconds: number;
	/** The same for the instance that reads for the others: what it tells them is as old as its last call. */
	readerWaitMilliseconds: number;
	/** With a proof that is older than this, an instance reads for itself. */
	relayLapseMilliseconds: number;
};

/** What a follower works with. */
export type FeedTools = {
	clock: MomentClock;
	log: DecisionLog;
	random: () => number;
	/** Whether this instance reads for the others. */
	isReader?: () => boolean;
	/** Whether it does so as soon as the one that reads now is gone. */
	isStandby?: () => boolean;
};

/** First pause behind a failed call; doubles up to the longest. Short, since knowledge ages while nothing is heard. */
const firstPauseMilliseconds = 100;
const longestPauseMilliseconds = 800;
/** Jitter of a pause, so that instances that lost the store together do not return together. */
const jitterShare = 0.5;
/** Pause behind a call that brought changes: while many rows change, one call brings those of a moment together. */
const batchMilliseconds = 60;
/** How often an instance that hears from another one looks whether it has become the one that reads. */
const longestRelayWaitMilliseconds = 400;
/** The same for the one that reads next: the others must hear from it before the last proof that they have is too old. */
const standbyWaitMilliseconds = 80;
/** Instances that miss the one that reads begin to read spread over this time. */
const relaySpreadMilliseconds = 300;
/** Failures that are older say nothing of rows that vanish now. */
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
	/** The latest era that was seen, also while there is no place. */
	#era: number | undefined;
	/** When the call was sent whose answer proved the place. */
	#provenAt: Moment | undefined;
	/** The same, of a proof that another instance told. */
	#relayedAt: Moment | undefined;
	#failedAt: Moment | undefined;
	/** Until when a store that came back from an older copy may lack what is being written again, on the steady clock. */
	#restoredUntil = Number.NEGATIVE_INFINITY;
	#mustRead = true;
	/** Whether the last call was made for the others. */
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

	/** Where this instance stands; absent until the table was read. */
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

	/** Makes one call. */
	async step(): Promise<void> {
		const {clock} = this.#tools;
		const {table} = this.#plan;
		const sentAt = clock.moment();
		const place = this.#place;
		this.#mustRead = false;
		const answer = place === undefined
			? await this.#feed.readWhole(table)
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
	 * Takes what the instance that reads tells.
	 *
	 * @param news - Its news of this table.
	 * @param askedAt - When the question was sent that they answer: their proof is older by its age at most.
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

	/** What another instance that stands at a place hears of this one; `undefined` while there is no proof to tell. */
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

	/** How long the next call may wait; the first one for the others does not, since they have a proof only when it is answered. */
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

	/** For how long this instance needs no calls of its own, by what another one told last, in milliseconds. */
	#relayLeft(now: Moment): number {
		const isReader = this.#tools.isReader?.() ?? false;
		return this.#mustRead || isReader || this.#relayedAt === undefined
			? 0
			: this.#plan.relayLapseMilliseconds + this.#spreadMilliseconds - longestElapsed(this.#relayedAt, now);
	}

	/** Waits until the proof has grown old, or the table has to be read. */
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

	/** Another source may have told some of the rows meanwhile, and later ones; or the place was given up. */
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
	 * In another era the place is none, and the table is read whole. What the store has lost is written to it again within some
	 * seconds; until then it proves nothing.
	 */
	#noteEra(era: number): void {
		const formerEra = this.#era;
		this.#era = era;
		if (formerEra === undefined || formerEra === era) {
			return;
		}

		const now = this.#tools.clock.moment();
		this.#place = undefined;
		this.#restoredUntil = now.steady + reappearanceMilliseconds;
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
