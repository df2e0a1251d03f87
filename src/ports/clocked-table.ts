/** The port to single rows together with the store's own steady clock, for leases that many instances judge alike. */
import {type Either} from 'purify-ts/Either';
import {type Row, type RowName, type TableFailure} from './table-service.js';

/** A row, and the store's clock when it was read. */
export type ClockedRow = {
	row: Row | undefined;
	/** Milliseconds of the store's steady clock. */
	storeMilliseconds: number;
};

export interface ClockedTable {
	readClocked(name: RowName): Promise<Either<TableFailure, ClockedRow>>;
}
