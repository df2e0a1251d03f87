/**
 * A table service for fault runs. `TableRows` applies each transaction atomically. `FaultyTable` is the connection of one
 * process to it: requests or answers are lost, writes are applied long after their caller's timeout, and the platform is
 * down or not reachable.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type Row, type RowName, type TableFailure, type TableService, type Transaction,
} from '../ports/table-service.js';
import {type SimulatedProcess, type FaultSimulation} from './simulation.js';

const timeoutMilliseconds = 1500;
const maxLatenessMilliseconds = 90_000;

export class TableRows {
	isDown = false;
	readonly #rows = new Map<string, Row>();
	readonly #onWrite: (row: Row) => void;

	/** @param onWrite - Called with each row after it is written. */
	constructor(onWrite: (row: Row) => void) {
		this.#onWrite = onWrite;
	}

	read({table, key}: RowName): Row | undefined {
		return this.#rows.get(`${table}/${key}`);
	}

	all(table: string): Row[] {
		return [...this.#rows.values()].filter(row => row.table === table).toSorted((left, right) => left.key < right.key ? -1 : 1);
	}

	apply({conditions, writes}: Transaction): Either<TableFailure, void> {
		const failing = conditions.filter(condition => (this.read(condition)?.revision ?? 0) !== condition.revision);
		if (failing.length > 0) {
			return Left({kind: 'conflict', current: failing.map(name => this.read(name)).filter(row => row !== undefined)});
		}

		for (const {table, key, value} of writes) {
			const revision = (this.read({table, key})?.revision ?? 0) + 1;
			const row = {
				table, key, revision, value: value ?? null,
			};
			this.#rows.set(`${table}/${key}`, row);
			this.#onWrite(row);
		}

		return Right(undefined);
	}
}

const commitOutcomes = ['well', 'well', 'well', 'well', 'well', 'well', 'lost-after', 'lost-before', 'late', 'refused'] as const;

export class FaultyTable implements TableService {
	readonly #simulation: FaultSimulation;
	readonly #rows: TableRows;
	readonly #process: SimulatedProcess;

	constructor(simulation: FaultSimulation, rows: TableRows, process: SimulatedProcess) {
		this.#simulation = simulation;
		this.#rows = rows;
		this.#process = process;
	}

	get #isUnavailable(): boolean {
		return this.#rows.isDown || this.#process.isCutOff;
	}

	async read(name: RowName): Promise<Either<TableFailure, Row | undefined>> {
		return this.#readWithFaults(() => this.#rows.read(name));
	}

	async scan({table, prefix, after, limit}: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>> {
		return this.#readWithFaults(() => this.#rows.all(table).filter(({key}) => key.startsWith(prefix) && key > after).slice(0, limit));
	}

	async commit(transaction: Transaction): Promise<Either<TableFailure, void>> {
		const {choices} = this.#simulation;
		await this.#simulation.pauseOrStop(this.#process);
		await this.#simulation.delay(choices.between(1, 20));
		const outcome = this.#isUnavailable ? choices.oneOf(['refused', 'lost-before'] as const) : choices.oneOf(commitOutcomes);
		const written = await this.#applyWithOutcome(outcome, transaction);
		this.#simulation.log(`${this.#process.name} writes ${describe(transaction)}: ${written.isRight() ? 'applied' : written.extract()!.kind}${outcome === 'well' ? '' : ` (${outcome})`}`);
		await this.#simulation.pauseOrStop(this.#process);
		return written;
	}

	async #applyWithOutcome(outcome: typeof commitOutcomes[number], transaction: Transaction): Promise<Either<TableFailure, void>> {
		if (outcome === 'refused') {
			return Left({kind: 'unavailable', detail: 'down'});
		}

		if (outcome === 'well') {
			const result = this.#rows.apply(transaction);
			await this.#simulation.delay(this.#simulation.choices.between(1, 20));
			return result;
		}

		if (outcome === 'lost-after') {
			this.#rows.apply(transaction);
		} else if (outcome === 'late') {
			this.#simulation.schedule(this.#simulation.choices.between(1, maxLatenessMilliseconds), () => {
				this.#rows.apply(transaction);
			});
		}

		await this.#simulation.delay(timeoutMilliseconds);
		return Left({kind: 'outcome-unknown', detail: outcome});
	}

	async #readWithFaults<Value>(readRows: () => Value): Promise<Either<TableFailure, Value>> {
		const {choices} = this.#simulation;
		await this.#simulation.pauseOrStop(this.#process);
		await this.#simulation.delay(choices.between(1, 20));
		const isLost = choices.chance(5);
		const result: Either<TableFailure, Value> = this.#isUnavailable || isLost ? Left({kind: 'unavailable', detail: 'down'}) : Right(readRows());
		await this.#simulation.delay(isLost ? timeoutMilliseconds : choices.between(1, 20));
		await this.#simulation.pauseOrStop(this.#process);
		return result;
	}
}

function describe({writes}: Transaction): string {
	return writes.map(({key, value}) => `${key} ${JSON.stringify(value)}`).join(', ').slice(0, 160);
}
