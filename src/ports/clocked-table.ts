/** The port to single rows together with the store's own steady clock, for leases that many instances judge alike. */
import {type Either} from 'purify-ts/Either';
import {type Row, type RowName, type TableFailure} from './table-service.js';

/** A row, and the store's clock when it was read. */
export type ClockedRow = {
	row: Row | undefined;
	/** Milliseconds of the store's steady clock. */
	storeMilliseconds: number;
	/** The era of the answer; 0 where the store tells none. */
	era: number;
};

export interface ClockedTable {
	/** The latest era that any answer told. It rises when the store comes back from a copy and has lost what was written since. */
	readonly era: number;
	readClocked(name: RowName): Promise<Either<TableFailure, ClockedRow>>;
}
