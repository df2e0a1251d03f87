/**
 * The latest changes of a table, for other instances that follow it from a position not far behind.
 *
 * Bounded by age and by count: whoever is further behind reads the table itself. Large rows are left to such a read too,
 * since the store has a far faster link than an instance that would send them to all others.
 */
import {type FeedRow} from '../../ports/table-feed.js';

/** Others lag behind by some hundred milliseconds; one that was cut off for longer reads the table anew. */
const longestAgeMilliseconds = 15_000;
const mostChanges = 1000;
/** Rows that are longer than this together are not passed on. */
const mostPassedOnCharacters = 32_768;

type Change = {
	/** The position that the table had reached with it. */
	position: number;
	rows: readonly FeedRow[];
	/** When it was heard of, in milliseconds of the steady clock. */
	at: number;
	/** Of its rows as JSON; worked out when it is first asked for. */
	characters?: number;
};

export class FeedHistory {
	/** All changes behind this position are at hand. */
	#since = Number.POSITIVE_INFINITY;
	#changes: Change[] = [];

	/** Begins anew with a table that was read whole as of a position. */
	begin(position: number): void {
		this.#since = position;
		this.#changes = [];
	}

	/** Takes rows that changed up to a position. */
	add(rows: readonly FeedRow[], position: number, now: number): void {
		if (rows.length === 0) {
			return;
		}

		this.#changes.push({position, rows, at: now});
		while (this.#changes.length > mostChanges || now - this.#changes[0]!.at > longestAgeMilliseconds) {
			this.#since = this.#changes.shift()!.position;
		}
	}

	/**
	 * Gives what changed behind a position, in order.
	 *
	 * @returns The rows; `undefined` if they are not all at hand, or too large to be passed on.
	 */
	behind(position: number): FeedRow[] | undefined {
		if (position < this.#since) {
			return undefined;
		}

		const changes = this.#changes.filter(change => change.position > position);
		let characters = 0;
		for (const change of changes) {
			change.characters ??= JSON.stringify(change.rows).length;
			characters += change.characters;
		}

		return characters > mostPassedOnCharacters ? undefined : changes.flatMap(({rows}) => rows).filter(({revision}) => revision > position);
	}
}
