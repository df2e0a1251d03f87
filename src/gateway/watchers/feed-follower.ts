/**
 * Follows one table of the store: reads it whole, then waits for what changes, for ever.
 *
 * Each answered call, also one without changes, proves that the table stood so when the call was sent; whoever holds a
 * lease on that knowledge renews it from there. A call that hangs proves nothing and is given up after its own time limit,
 * on a connection of its own. When the feed has forgotten what came behind the last position, the table is read whole
 * again: changes in between would be missed otherwise.
 */
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {
	type FeedAnswer, type FeedFailure, type FeedRow, type TableFeed,
} from '../../ports/table-feed.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type DecisionLog} from '../observability/decision-log.js';

/** What a follower is for. */
export interface FeedReader {
	/** Takes the whole table. */
	takeWhole(rows: readonly FeedRow[], sentAt: Moment, now: Moment): void;
	/** Takes what changed, in order; may be nothing. */
	takeChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment): void;
	/** Hears that a call failed. */
	takeFailure(now: Moment): void;
}

/** Which table, and how long a call may wait for changes. */
export type FeedPlan = {
	table: string;
	waitMilliseconds: number;
};

/** First pause behind a failed call; doubles up to the longest. Short, since knowledge ages while nothing is heard. */
const firstPauseMilliseconds = 100;
const longestPauseMilliseconds = 800;
/** Jitter of a pause, so that instances that lost the store together do not return together. */
const jitterShare = 0.5;

export class FeedFollower implements Child {
	readonly name: string;
	readonly #feed: TableFeed;
	readonly #plan: FeedPlan;
	readonly #reader: FeedReader;
	readonly #parts: {clock: MomentClock; log: DecisionLog; random: () => number};
	#position: number | undefined;
	#pause = 0;
	#isLost = false;

	constructor(feed: TableFeed, plan: FeedPlan, reader: FeedReader, parts: {clock: MomentClock; log: DecisionLog; random: () => number}) {
		this.name = `feed-${plan.table}`;
		this.#feed = feed;
		this.#plan = plan;
		this.#reader = reader;
		this.#parts = parts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.step();
			if (this.#pause > 0) {
				await this.#parts.clock.sleep(this.#pause * (1 - (jitterShare * this.#parts.random())), signal);
			}
		}
	}

	/** Makes one call. */
	async step(): Promise<void> {
		const {clock} = this.#parts;
		const sentAt = clock.moment();
		const position = this.#position;
		const answer = position === undefined
			? await this.#feed.readWhole(this.#plan.table)
			: await this.#feed.follow({table: this.#plan.table, after: position, waitMilliseconds: this.#plan.waitMilliseconds});
		answer.caseOf({
			Left: failure => {
				this.#failed(failure);
			},
			Right: ({rows, position: next}: FeedAnswer) => {
				this.#answered();
				this.#position = next;
				if (position === undefined) {
					this.#reader.takeWhole(rows, sentAt, clock.moment());
				} else {
					this.#reader.takeChanges(rows, sentAt, clock.moment());
				}
			},
		});
	}

	#answered(): void {
		this.#pause = 0;
		if (this.#isLost) {
			this.#isLost = false;
			this.#parts.log.record('dependency-regained', {dependency: 'store', table: this.#plan.table});
		}
	}

	#failed(failure: FeedFailure): void {
		if (failure.kind === 'history-lost') {
			this.#position = undefined;
			this.#pause = 0;
			this.#parts.log.record('dependency-lost', {dependency: 'store-history', table: this.#plan.table});
			return;
		}

		this.#pause = Math.min(longestPauseMilliseconds, Math.max(firstPauseMilliseconds, this.#pause * 2));
		this.#reader.takeFailure(this.#parts.clock.moment());
		if (!this.#isLost) {
			this.#isLost = true;
			this.#parts.log.record('dependency-lost', {
				dependency: 'store', table: this.#plan.table, failure: failure.kind, detail: 'detail' in failure ? failure.detail : undefined,
			});
		}
	}
}
