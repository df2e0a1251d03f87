/** The record of operators' acts in the table service: who did what, when and why, and what came of it. */
import {randomUUID} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type TableFailure, type TableService} from '../../ports/table-service.js';

export const actTable = 'acts';

const keyDigits = 16;
const newestFirstFrom = 10 ** (keyDigits - 1);

/** One act. `asked` stands while it is being done, and for good if the instance died over it. */
export type ActRecord = {
	at: number;
	author: string;
	act: string;
	reason: string;
	instance: string;
	outcome: string;
};

/**
 * Gives the key of an act's row. Keys sort the newest act first, so that a bounded read shows the latest ones.
 *
 * @param at - When, in milliseconds since the epoch.
 * @returns A key that no other act has.
 */
export function actKeyOf(at: number): string {
	return `${String(newestFirstFrom - at).padStart(keyDigits, '0')}/${randomUUID()}`;
}

/**
 * Writes a new record.
 *
 * A lost answer is read back, so that an act is not refused though its record stands.
 *
 * @param table - The table service.
 * @param key - From `actKeyOf`.
 * @param record - The record.
 * @returns Nothing, or why the record does not stand for sure.
 */
export async function writeActRecord(table: TableService, key: string, record: ActRecord): Promise<Either<TableFailure, void>> {
	const name = {table: actTable, key};
	const written = await table.commit({conditions: [{...name, revision: 0}], writes: [{...name, value: record}]});
	const failure = written.swap().toMaybe().extract();
	if (failure === undefined || failure.kind === 'unavailable') {
		return written;
	}

	const found = await table.read(name);
	return found.chain(row => row === undefined ? Left(failure) : Right(undefined));
}

/**
 * Adds the outcome to a record. When that fails the record goes on saying `asked`, which is true.
 *
 * @param table - The table service.
 * @param key - The key of the record.
 * @param record - The record with its outcome.
 */
export async function closeActRecord(table: TableService, key: string, record: ActRecord): Promise<void> {
	const name = {table: actTable, key};
	await table.commit({conditions: [{...name, revision: 1}], writes: [{...name, value: record}]});
}
