/**
 * Several handlers of one table, whose rows differ by their keys: each ignores the rows of the others. Kinds of rows that
 * instances write for each other share a table, since each table that is followed costs every instance calls to the store.
 */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type Arrival, type FeedHandler} from './feed-update.js';

export class FeedHandlers implements FeedHandler {
	readonly #handlers: readonly FeedHandler[];

	/** @param handlers - They get all rows, in this order. */
	constructor(handlers: readonly FeedHandler[]) {
		this.#handlers = handlers;
	}

	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		for (const handler of this.#handlers) {
			handler.handleSnapshot(rows, sentAt, now, arrival);
		}
	}

	handleChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		for (const handler of this.#handlers) {
			handler.handleChanges(rows, sentAt, now, arrival);
		}
	}

	handleFailure(failedAt: Moment): void {
		for (const handler of this.#handlers) {
			handler.handleFailure(failedAt);
		}
	}
}
