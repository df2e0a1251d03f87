/** An in-memory table service with a change feed, for checks over real gateway processes. One counter gives all revisions. */
import {type FeedAnswer, type FeedRow} from '../ports/table-feed.js';
import {type Row, type RowName, type Transaction} from '../ports/table-service.js';
import {type JsonValue} from '../shared/types.js';

type StoredRow = FeedRow & {table: string};

export class MemoryFeedTable {
	#position = 0;
	readonly #rows = new Map<string, StoredRow>();
	readonly #waiters = new Set<() => void>();

	get position(): number {
		return this.#position;
	}

	/** Writes one row without a condition; an absent value deletes it. */
	write(name: RowName, value?: JsonValue): void {
		this.commit({conditions: [], writes: [value === undefined ? name : {...name, value}]});
	}

	/** Applies a transaction, or returns the current rows of its conditions if one of them does not hold. */
	commit({conditions, writes}: Transaction): Row[] | undefined {
		if (conditions.some(condition => (this.#existing(condition)?.revision ?? 0) !== condition.revision)) {
			return conditions.flatMap(condition => this.#existing(condition) ?? []);
		}

		this.#position++;
		for (const {table, key, value} of writes) {
			this.#rows.set(rowKeyOf({table, key}), {
				table, key, content: value, isDeleted: value === undefined, revision: this.#position,
			});
		}

		for (const wake of this.#waiters) {
			wake();
		}

		return undefined;
	}

	/** The rows of a table with keys from `from` up to `to`, without `to` itself. */
	range(table: string, from: string, to: string | undefined): Row[] {
		return [...this.#rows.values()]
			.filter(row => row.table === table && !row.isDeleted && row.key >= from && (to === undefined || row.key < to))
			.toSorted((left, right) => left.key < right.key ? -1 : 1)
			.map(row => valueOf(row));
	}

	/** Waits until rows of a table have changed after a position, or until the time is over. */
	async changesAfter(table: string, after: number, waitMilliseconds: number): Promise<FeedAnswer> {
		const changed = (): StoredRow[] => [...this.#rows.values()].filter(row => row.table === table && row.revision > after).toSorted((left, right) => left.revision - right.revision);
		const endsAt = performance.now() + waitMilliseconds;
		while (changed().length === 0 && performance.now() < endsAt) {
			await this.#nextWrite(endsAt - performance.now());
		}

		return {rows: changed(), position: this.#position, era: 0};
	}

	async #nextWrite(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				this.#waiters.delete(end);
				resolve();
			};

			const timer = setTimeout(end, milliseconds);
			this.#waiters.add(end);
		});
	}

	#existing(name: RowName): Row | undefined {
		const row = this.#rows.get(rowKeyOf(name));
		return row === undefined || row.isDeleted ? undefined : valueOf(row);
	}
}

function rowKeyOf({table, key}: RowName): string {
	return `${table}|${key}`;
}

function valueOf({table, key, revision, content}: StoredRow): Row {
	return {
		table, key, revision, value: content ?? null,
	};
}
