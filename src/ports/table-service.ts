/**
 * The port to the platform's transactional table service: rows by table and key, each with a revision that starts at 1 and
 * increases by one with every write, and transactions whose writes are applied only if all conditions hold. State that must be
 * durable or agreed among instances is kept only here.
 */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../shared/types.js';

/** Identifies a row. */
export type RowName = {
	table: string;
	key: string;
};

/** A row as read. `revision` is at least 1. */
export type Row = RowName & {
	revision: number;
	value: JsonValue;
};

/** A condition that holds if the row has this revision; revision 0 means that the row is absent. */
export type RowCondition = RowName & {
	revision: number;
};

/** A write of the whole row; an absent value deletes it. */
export type RowWrite = RowName & {
	value?: JsonValue;
};

/** A transaction: all writes are applied, or none. */
export type Transaction = {
	conditions: RowCondition[];
	writes: RowWrite[];
};

/**
 * Why a call to the table failed.
 *
 * - `unavailable`: nothing was applied or will be applied.
 * - `outcome-unknown`: the call was sent and its answer was lost; the writes may have been applied, or may still be applied.
 * - `conflict`: a condition did not hold; nothing was applied. `current` holds the current rows.
 */
export type TableFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'outcome-unknown'; detail: string}
		| {kind: 'conflict'; current: Row[]};

/** The table service's interface. */
export interface TableService {
	/** Reads one row; `undefined` if it is absent. A failed read is always `unavailable`. */
	read(name: RowName): Promise<Either<TableFailure, Row | undefined>>;
	/** Reads the rows whose keys start with `prefix` and are greater than `after`, in order of key. */
	scan(query: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>>;
	/** Applies a transaction. */
	commit(transaction: Transaction): Promise<Either<TableFailure, void>>;
}
