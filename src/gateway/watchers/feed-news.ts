/** What instances tell each other of the tables that they follow, and what is told to whoever reads a table's rows. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';

/**
 * How rows came: by a call of this instance to the feed, as they were written; from another instance that reads, a moment
 * later; or from a store that has just come back from an older copy and may lack what is being written again.
 */
export type Arrival = 'live' | 'relayed' | 'restored';

/** What a follower is for. */
export interface FeedReader {
	/** Takes the whole table. */
	takeWhole(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void;
	/** Takes what changed, in order; may be nothing. */
	takeChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void;
	/** Hears that a call failed at a moment. */
	takeFailure(failedAt: Moment): void;
}

/** Where an instance stands in a table; positions of two eras cannot be compared. */
export type FeedPlace = {
	era: number;
	position: number;
};

/** What the instance that reads tells another one of a table. */
export type FeedNews = FeedPlace & {
	table: string;
	/** What changed behind the other's place; absent where the other has to read the table itself. */
	rows?: FeedRow[];
	/** How long ago the call was sent whose answer proved this place. */
	ageMilliseconds: number;
	/** How long ago a call failed last; absent if none did. */
	failedMilliseconds?: number;
};
