/**
 * Fencing numbers of orders, one row per endpoint in the table service. Whoever takes the next number is the holder from
 * then on; an endpoint that checks numbers refuses all orders with a lower one.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type TableFailure, type TableService} from '../../ports/table-service.js';

export const orderTable = 'orders';
const tryLimit = 3;

/** The row of an endpoint. */
export type FencingRow = {
	fencingNumber: number;
	holder: string;
	numberedAt: number;
};

/**
 * Takes the next fencing number of an endpoint.
 *
 * Two holders with one number could not be told apart by the endpoint, and the older could undo the newer one's order;
 * the write is conditional on the row's revision, so each number is given once. A write whose answer was lost is not
 * read back: the number is left unused, and the next one is taken.
 *
 * @param table - The table service.
 * @param taker - The endpoint's name and this instance's.
 * @param now - Milliseconds since the epoch.
 * @returns The row with the number, or why there is none.
 */
export async function takeFencingNumber(table: TableService, taker: {endpoint: string; holder: string}, now: number): Promise<Either<TableFailure, FencingRow>> {
	const name = {table: orderTable, key: taker.endpoint};
	let failure: TableFailure = {kind: 'unavailable', detail: 'not tried'};
	for (let count = 0; count < tryLimit; count++) {
		const read = await table.read(name);
		if (read.isLeft()) {
			return Left(read.extract());
		}

		const found = read.orDefault(undefined);
		const known = found?.value as FencingRow | undefined;
		const row: FencingRow = {fencingNumber: (known?.fencingNumber ?? 0) + 1, holder: taker.holder, numberedAt: now};
		const written = await table.commit({conditions: [{...name, revision: found?.revision ?? 0}], writes: [{...name, value: row}]});
		if (written.isRight()) {
			return Right(row);
		}

		failure = written.extract() as TableFailure;
	}

	return Left(failure);
}
