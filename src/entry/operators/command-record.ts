/** Records of operators' commands in the table service: author, time, command, reason and outcome. */
import {randomUUID} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type TableFailure, type TableService} from '../../ports/table-service.js';

export const commandTable = 'acts';

const keyDigits = 16;
const newestFirstFrom = 10 ** (keyDigits - 1);

/** The record of one command. Its outcome is `asked` while the command runs, and stays so if the instance fails meanwhile. */
export type CommandRecord = {
	at: number;
	author: string;
	act: string;
	reason: string;
	instance: string;
	outcome: string;
};

/**
 * Creates the key of a command's row. Keys sort the newest command first, so that a bounded read returns the latest ones.
 *
 * @param at - The time of the command, in milliseconds since the epoch.
 * @returns A unique key.
 */
export function commandKeyOf(at: number): string {
	return `${String(newestFirstFrom - at).padStart(keyDigits, '0')}/${randomUUID()}`;
}

/**
 * Writes a new record.
 *
 * If the answer to the write is lost, the row is read, so that a command is not refused although its record was written.
 *
 * @param table - The table service.
 * @param key - The key of the row, from `commandKeyOf`.
 * @param record - The record.
 * @returns Nothing, or why the record is not known to be written.
 */
export async function writeCommandRecord(table: TableService, key: string, record: CommandRecord): Promise<Either<TableFailure, void>> {
	const name = {table: commandTable, key};
	const written = await table.commit({conditions: [{...name, revision: 0}], writes: [{...name, value: record}]});
	const failure = written.swap().toMaybe().extract();
	if (failure === undefined || failure.kind === 'unavailable') {
		return written;
	}

	const found = await table.read(name);
	return found.chain(row => row === undefined ? Left(failure) : Right(undefined));
}

/**
 * Adds the outcome to a record. If that fails, the record keeps `asked`, which is still correct.
 *
 * @param table - The table service.
 * @param key - The key of the record.
 * @param record - The record with its outcome.
 */
export async function completeCommandRecord(table: TableService, key: string, record: CommandRecord): Promise<void> {
	const name = {table: commandTable, key};
	await table.commit({conditions: [{...name, revision: 1}], writes: [{...name, value: record}]});
}
