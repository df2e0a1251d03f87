/** An in-memory table service with the faults of the platform's one: outages, lost answers, and restores from a copy. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ClockedRow, type ClockedTable} from '../ports/clocked-table.js';
import {
	type Row, type RowName, type TableFailure, type TableService, type Transaction,
} from '../ports/table-service.js';

export class MemoryTable implements TableService, ClockedTable {
	/** The time of the table's own clock, in milliseconds. */
	now = 0;
	/** While true, every call fails and no write is applied. */
	down = false;
	/** The number of following commits that are applied but whose answers are lost. */
	loseAnswers = 0;
	era = 0;
	/** The number of reads with a clock, whether they succeeded or failed. */
	reads = 0;
	#rows = new Map<string, Row>();

	/** Returns a copy that the table can be restored from. */
	copy(): ReadonlyMap<string, Row> {
		return structuredClone(this.#rows);
	}

	/** Restores a copy and starts a new era: later writes are lost, and their revision numbers are used again. */
	restore(copy: ReadonlyMap<string, Row>): void {
		this.#rows = new Map(structuredClone(copy));
		this.era++;
	}

	async read(name: RowName): Promise<Either<TableFailure, Row | undefined>> {
		return this.down ? Left(unavailable) : Right(this.#rows.get(rowKeyOf(name)));
	}

	async readClocked(name: RowName): Promise<Either<TableFailure, ClockedRow>> {
		this.reads++;
		const read = await this.read(name);
		return read.map(row => ({row, storeMilliseconds: this.now, era: this.era}));
	}

	async scan(query: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>> {
		const rows = [...this.#rows.values()]
			.filter(({table, key}) => table === query.table && key.startsWith(query.prefix) && key > query.after)
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		return this.down ? Left(unavailable) : Right(rows.slice(0, query.limit));
	}

	async commit(transaction: Transaction): Promise<Either<TableFailure, void>> {
		if (this.down) {
			return Left(unavailable);
		}

		const failing = transaction.conditions.filter(condition => (this.#rows.get(rowKeyOf(condition))?.revision ?? 0) !== condition.revision);
		if (failing.length > 0) {
			const current = failing.map(name => this.#rows.get(rowKeyOf(name))).filter(row => row !== undefined);
			return Left({kind: 'conflict', current});
		}

		for (const {table, key, value} of transaction.writes) {
			const name = rowKeyOf({table, key});
			if (value === undefined) {
				this.#rows.delete(name);
			} else {
				this.#rows.set(name, {
					table, key, value: structuredClone(value), revision: (this.#rows.get(name)?.revision ?? 0) + 1,
				});
			}
		}

		if (this.loseAnswers > 0) {
			this.loseAnswers--;
			return Left({kind: 'outcome-unknown', detail: 'the answer was lost'});
		}

		return Right(undefined);
	}
}

const unavailable: TableFailure = {kind: 'unavailable', detail: 'the table service is down'};

function rowKeyOf({table, key}: RowName): string {
	return `${table}|${key}`;
}
