/** The port to single rows, read together with the store's own steady clock, on which all instances agree about leases. */
import {type Either} from 'purify-ts/Either';
import {type Row, type RowName, type TableFailure} from './table-service.js';

/** A row, with the store's clock and era when it was read. */
export type ClockedRow = {
	row: Row | undefined;
	/** The store's steady clock, in milliseconds. */
	storeMilliseconds: number;
	/** The store's era; 0 where the store reports none. */
	era: number;
};

export interface ClockedTable {
	/** The latest era in any answer. It increases when the store is restored from a copy and has lost all later writes. */
	readonly era: number;
	readClocked(name: RowName): Promise<Either<TableFailure, ClockedRow>>;
}
