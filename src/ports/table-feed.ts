/**
 * The port to a table's changes: the whole table at one moment, and then what changed behind it. A reader that follows
 * hears of a change as soon as it is made, and an answer without changes still proves that nothing had changed when the
 * call was sent.
 */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../shared/types.js';
import {type TableFailure} from './table-service.js';

/** A row as the feed tells it. `content` is absent where the row was deleted or its bytes cannot be read. */
export type FeedRow = {
	key: string;
	content: JsonValue | undefined;
	isDeleted: boolean;
	/** The position of the row's last change. */
	revision: number;
};

/** What a call to the feed gives. `position` is where the next call goes on. */
export type FeedAnswer = {
	rows: FeedRow[];
	position: number;
	/** Rises when the store comes back from an older copy; positions of two eras cannot be compared. */
	era: number;
};

/** The feed no longer holds what came behind the asked position: the table has to be read whole again. */
export type FeedFailure = TableFailure | {kind: 'history-lost'};

/** Where to follow a table, and how long a call without changes may wait. */
export type FollowQuery = {
	table: string;
	after: number;
	waitMilliseconds: number;
};

/** The feed of a table service. */
export interface TableFeed {
	/** Reads a table whole. */
	readWhole(table: string): Promise<Either<TableFailure, FeedAnswer>>;
	/** Waits for changes behind a position. */
	follow(query: FollowQuery): Promise<Either<FeedFailure, FeedAnswer>>;
}
