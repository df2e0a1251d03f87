/**
 * The port to a table's change feed: a snapshot of the whole table, and the changes after it. A follower receives each change
 * as soon as it is made; an answer without changes proves that nothing had changed when the call was sent.
 */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../shared/types.js';
import {type TableFailure} from './table-service.js';

/** A row in the feed. `content` is `undefined` where the row was deleted or its bytes cannot be parsed. */
export type FeedRow = {
	key: string;
	content: JsonValue | undefined;
	isDeleted: boolean;
	/** The position of the row's last change. */
	revision: number;
};

/** The answer to a call to the feed. The next call continues at `position`. */
export type FeedAnswer = {
	rows: FeedRow[];
	position: number;
	/** Increases when the store is restored from an older copy; positions of two eras cannot be compared. */
	era: number;
};

/** Why a call to the feed failed. `history-lost`: it no longer has all changes after the position; read the whole table again. */
export type FeedFailure = TableFailure | {kind: 'history-lost'};

/** The table and position to follow from, and how long a call without changes may wait. */
export type FollowQuery = {
	table: string;
	after: number;
	waitMilliseconds: number;
};

/** The change feed of a table service. */
export interface TableFeed {
	/** Reads the whole table. */
	readSnapshot(table: string): Promise<Either<TableFailure, FeedAnswer>>;
	/** Waits for changes after a position. */
	follow(query: FollowQuery): Promise<Either<FeedFailure, FeedAnswer>>;
}
