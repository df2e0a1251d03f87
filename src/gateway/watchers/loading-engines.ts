/**
 * Which engines are loading weights, as the holder of the weights lease writes in its row. This is a hint: an instance that
 * misses it sends a request to an engine that rejects it.
 */
import {type FeedRow} from '../../ports/table-feed.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type LeaseRow} from '../../protocol/lease/leader-lease.js';
import {weightsLeaseKey} from '../leadership/weights-lease.js';
import {type FeedHandler} from './feed-update.js';

/** A hint expires after this time: the holder may have failed before it could withdraw the hint. */
const maxHintAgeMilliseconds = 4000;
/** A holder that has not renewed its lease for this long no longer leads; a successor follows one lease later at the earliest. */
const holderTimeoutMilliseconds = 2000;

export class LoadingEngines implements FeedHandler {
	readonly #now: () => number;
	#engines: ReadonlySet<string> = new Set();
	#receivedAt = Number.NEGATIVE_INFINITY;

	/** @param now - Returns milliseconds of the steady clock. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** The engines that load now. */
	get current(): ReadonlySet<string> {
		return this.#now() - this.#receivedAt < maxHintAgeMilliseconds ? this.#engines : new Set();
	}

	/** Whether a holder of the lease has renewed it recently: it writes its row with each renewal. */
	isHolderAlive(): boolean {
		return this.#now() - this.#receivedAt < holderTimeoutMilliseconds;
	}

	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment): void {
		this.handleChanges(rows, sentAt, now);
	}

	handleChanges(rows: readonly FeedRow[], _sentAt: Moment, now: Moment): void {
		for (const {key, content, isDeleted} of rows) {
			if (key === weightsLeaseKey && !isDeleted && content !== undefined) {
				this.#engines = new Set((content as LeaseRow).engines);
				this.#receivedAt = now.steady;
			}
		}
	}

	handleFailure(): void {
		// A missing hint costs one rejected attempt; nothing has to be done.
	}
}
