/** The updates that instances relay to each other about the tables they follow, and the interface of a table's consumer. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';

/**
 * How rows arrived: `live`, by a call of this instance to the feed, as they were written; `relayed`, by the reader, somewhat
 * later; `restored`, from a store that was restored from an older copy and may lack rows that are still to be rewritten.
 */
export type Arrival = 'live' | 'relayed' | 'restored';

/**
 * Handles the rows that a follower receives. `sentAt` is the time as of which the rows are confirmed: when the call was
 * sent, or the query of a relayed update less its age. `now` is the time of their arrival.
 */
export interface FeedHandler {
	/** Handles the whole table. */
	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void;
	/** Handles the changed rows, in order; there may be none. */
	handleChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void;
	/** Handles a failed call to the store, of this instance or of the reader, or the finding that the store was restored. */
	handleFailure(failedAt: Moment): void;
}

/** Up to where an instance has read a table; positions of two eras cannot be compared. */
export type FeedCursor = {
	era: number;
	position: number;
};

/** What the reader relays to another instance about a table. */
export type FeedUpdate = FeedCursor & {
	table: string;
	/** What changed after the other instance's cursor; absent where the other instance has to read the table itself. */
	rows?: FeedRow[];
	/** How long ago the call was sent whose answer confirmed this cursor. */
	ageMilliseconds: number;
	/** How long ago the last failed call failed; absent if none did. */
	failedMilliseconds?: number;
};
