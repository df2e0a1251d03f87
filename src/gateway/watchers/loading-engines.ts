/**
 * Which engines are loading weights, as the holder of that duty tells in its row. A hint: whoever misses it sends a
 * request to an engine that rejects it.
 */
import {type FeedRow} from '../../ports/table-feed.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type DutyRow} from '../../protocol/duty/duty-lease.js';
import {weightsDuty} from '../duty/weights-duty.js';
import {type FeedReader} from './feed-news.js';

/** A hint is forgotten behind this time: its holder may have died before it could take it back. */
const hintLifeMilliseconds = 4000;
/** A holder that has not renewed its grant for so long cannot act; nobody may follow it sooner than a lease later. */
const holderLifeMilliseconds = 2000;

export class LoadingEngines implements FeedReader {
	readonly #now: () => number;
	#engines: ReadonlySet<string> = new Set();
	#heardAt = Number.NEGATIVE_INFINITY;

	/** @param now - Gives milliseconds of the steady clock. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** The engines that load now. */
	get current(): ReadonlySet<string> {
		return this.#now() - this.#heardAt < hintLifeMilliseconds ? this.#engines : new Set();
	}

	/** Whether a holder of the duty was heard of a moment ago: it writes its row with each renewal. */
	isHolderAlive(): boolean {
		return this.#now() - this.#heardAt < holderLifeMilliseconds;
	}

	takeWhole(rows: readonly FeedRow[], sentAt: Moment, now: Moment): void {
		this.takeChanges(rows, sentAt, now);
	}

	takeChanges(rows: readonly FeedRow[], _sentAt: Moment, now: Moment): void {
		for (const {key, content, isDeleted} of rows) {
			if (key === weightsDuty && !isDeleted && content !== undefined) {
				this.#engines = new Set((content as DutyRow).engines);
				this.#heardAt = now.steady;
			}
		}
	}

	takeFailure(): void {
		// A hint that is missing costs a rejected try; nothing is to be done.
	}
}
