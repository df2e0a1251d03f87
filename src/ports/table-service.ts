/**
 * The port to the platform's transactional table service: rows by table and key, each with a revision that is 1
 * at first and grows by one with every write, and transactions whose writes are applied only if all conditions hold. What must last or be agreed goes
 * through here and nowhere else.
 */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../shared/types.js';

/** Names one row. */
export type RowName = {
	table: string;
	key: string;
};

/** A row as read. `revision` is at least 1. */
export type Row = RowName & {
	revision: number;
	value: JsonValue;
};

/** Holds if the row has this revision; revision 0 stands for "absent". */
export type RowCondition = RowName & {
	revision: number;
};

/** A write of the whole row; an absent value deletes it. */
export type RowWrite = RowName & {
	value?: JsonValue;
};

/** All writes are applied, or none. */
export type Transaction = {
	conditions: RowCondition[];
	writes: RowWrite[];
};

/**
 * How a call to the table failed.
 *
 * - `unavailable`: nothing was applied, and nothing of this call will be.
 * - `outcome-unknown`: the call was sent and its answer is missing; the writes may have been applied, or may still be.
 * - `conflict`: a condition did not hold; nothing was applied. `current` are the rows as they stand.
 */
export type TableFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'outcome-unknown'; detail: string}
		| {kind: 'conflict'; current: Row[]};

/** The table service as savorygauge uses it. */
export interface TableService {
	/** Reads one row; `undefined` if it is absent. A failed read is always `unavailable`. */
	read(name: RowName): Promise<Either<TableFailure, Row | undefined>>;
	/** Reads the rows of a table whose keys are greater than `after` and start with `prefix`, in order of key. */
	scan(query: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>>;
	/** Applies a transaction. */
	commit(transaction: Transaction): Promise<Either<TableFailure, void>>;
}
