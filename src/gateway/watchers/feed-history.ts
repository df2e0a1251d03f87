/**
 * The latest changes of a table, to be relayed to instances that lag slightly behind.
 *
 * The history is bounded by age and by count; an instance that lags further behind reads the table itself. Large rows are
 * not relayed either: the store has a far faster link than an instance that would send them to all others.
 */
import {type FeedRow} from '../../ports/table-feed.js';

/** Other instances lag behind by some hundred milliseconds; one that was partitioned for longer reads the whole table. */
const maxAgeMilliseconds = 15_000;
const maxChanges = 1000;
/** Rows whose JSON is longer than this in total are not relayed. */
const maxRelayedCharacters = 32_768;

type Change = {
	/** The position of the table after this change. */
	position: number;
	rows: readonly FeedRow[];
	/** When it was received, in milliseconds of the steady clock. */
	receivedAt: number;
	/** Length of its rows as JSON; computed on first use. */
	characters?: number;
};

export class FeedHistory {
	/** The history is complete after this position. */
	#completeAfter = Number.POSITIVE_INFINITY;
	#changes: Change[] = [];

	/** Drops all changes, after the whole table was read as of a position. */
	reset(position: number): void {
		this.#completeAfter = position;
		this.#changes = [];
	}

	/**
	 * Adds rows that changed up to a position.
	 *
	 * @param rows - The changed rows, in order.
	 * @param position - The position of the table after them.
	 * @param now - Milliseconds of the steady clock.
	 */
	add(rows: readonly FeedRow[], position: number, now: number): void {
		if (rows.length === 0) {
			return;
		}

		this.#changes.push({position, rows, receivedAt: now});
		while (this.#changes.length > maxChanges || now - this.#changes[0]!.receivedAt > maxAgeMilliseconds) {
			this.#completeAfter = this.#changes.shift()!.position;
		}
	}

	/**
	 * Returns the rows that changed after a position, in order.
	 *
	 * @returns The rows; `undefined` if some are no longer held, or if they are too large to be relayed.
	 */
	rowsAfter(position: number): FeedRow[] | undefined {
		if (position < this.#completeAfter) {
			return undefined;
		}

		const changes = this.#changes.filter(change => change.position > position);
		let characters = 0;
		for (const change of changes) {
			change.characters ??= JSON.stringify(change.rows).length;
			characters += change.characters;
		}

		return characters > maxRelayedCharacters ? undefined : changes.flatMap(({rows}) => rows).filter(({revision}) => revision > position);
	}
}
