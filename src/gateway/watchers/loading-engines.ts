/**
 * Which engines are loading weights, as the holder of the weights lease writes in its row. This is a hint: an instance that
 * misses it sends a request to an engine that rejects it.
 */
import {type FeedRow} from '../../ports/table-feed.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type LeaseRow} from '../../protocol/lease/leader-lease.js';
import {weightsLeaseKey} from '../leadership/weights-lease.js';
import {type FeedReader} from './feed-news.js';

/** A hint expires after this time: the holder may have failed before it could withdraw the hint. */
const hintLifeMilliseconds = 4000;
/** A holder that has not renewed its lease for this long no longer leads; a successor follows one lease later at the earliest. */
const holderLifeMilliseconds = 2000;

export class LoadingEngines implements FeedReader {
	readonly #now: () => number;
	#engines: ReadonlySet<string> = new Set();
	#heardAt = Number.NEGATIVE_INFINITY;

	/** @param now - Returns milliseconds of the steady clock. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** The engines that load now. */
	get current(): ReadonlySet<string> {
		return this.#now() - this.#heardAt < hintLifeMilliseconds ? this.#engines : new Set();
	}

	/** Whether a holder of the lease has renewed it recently: it writes its row with each renewal. */
	isHolderAlive(): boolean {
		return this.#now() - this.#heardAt < holderLifeMilliseconds;
	}

	takeWhole(rows: readonly FeedRow[], sentAt: Moment, now: Moment): void {
		this.takeChanges(rows, sentAt, now);
	}

	takeChanges(rows: readonly FeedRow[], _sentAt: Moment, now: Moment): void {
		for (const {key, content, isDeleted} of rows) {
			if (key === weightsLeaseKey && !isDeleted && content !== undefined) {
				this.#engines = new Set((content as LeaseRow).engines);
				this.#heardAt = now.steady;
			}
		}
	}

	takeFailure(): void {
		// A missing hint costs one rejected attempt; nothing has to be done.
	}
}
