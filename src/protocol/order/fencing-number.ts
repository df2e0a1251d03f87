/**
 * Allocates the fencing numbers of orders, one row per endpoint in the table service. The instance with the latest number is
 * the holder; an endpoint that checks numbers refuses all orders with a lower one.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type TableFailure, type TableService} from '../../ports/table-service.js';

export const orderTable = 'orders';
const maxAttempts = 3;

/** The row of an endpoint. `numberedAt` is in milliseconds since the epoch. */
export type FencingRow = {
	fencingNumber: number;
	holder: string;
	numberedAt: number;
};

/**
 * Allocates the next fencing number of an endpoint.
 *
 * An endpoint could not distinguish two holders with the same number, and the older one could undo the newer one's order.
 * The write is conditional on the row's revision, so each number is allocated once. If the answer to a write is lost, the row
 * is not read back: that number stays unused, and the next one is allocated.
 *
 * @param table - The table service.
 * @param requester - The names of the endpoint and of this instance.
 * @param now - Milliseconds since the epoch.
 * @returns The row with the number, or the failure of the last attempt.
 */
export async function allocateFencingNumber(table: TableService, requester: {endpoint: string; holder: string}, now: number): Promise<Either<TableFailure, FencingRow>> {
	const name = {table: orderTable, key: requester.endpoint};
	let failure: TableFailure = {kind: 'unavailable', detail: 'not attempted'};
	for (let count = 0; count < maxAttempts; count++) {
		const read = await table.read(name);
		if (read.isLeft()) {
			return Left(read.extract());
		}

		const found = read.orDefault(undefined);
		const known = found?.value as FencingRow | undefined;
		const row: FencingRow = {fencingNumber: (known?.fencingNumber ?? 0) + 1, holder: requester.holder, numberedAt: now};
		const written = await table.commit({conditions: [{...name, revision: found?.revision ?? 0}], writes: [{...name, value: row}]});
		if (written.isRight()) {
			return Right(row);
		}

		failure = written.extract() as TableFailure;
	}

	return Left(failure);
}
