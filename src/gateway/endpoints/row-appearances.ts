/** When the present rows of endpoints appeared, which decide whether a process is the one that wrote a row. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type ObservedProcess} from './process-watch.js';

type Appearance = {
	startedAt: number;
	softwareVersion: string;
	/** As of when the list did not have the row yet. */
	absentAt: number;
	/** The start of the incarnation whose row it replaced. */
	replaced: number | undefined;
	/** Whether a restored store showed it, which may show rows that are older than their absence. */
	isRestored: boolean;
};

/** A process that has just started writes its row within this time. */
const firstRowMilliseconds = 2000;

export class RowAppearances {
	readonly #appearances = new Map<string, Appearance>();
	#confirmedAt = Number.NEGATIVE_INFINITY;

	/** Records that the list was confirmed as of a time of the steady clock in milliseconds. */
	confirm(confirmedAt: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
	}

	/** Records the row of an incarnation that was not listed before, and the one that it replaces. */
	note({name, startedAt, softwareVersion}: EndpointRecord, replaced: EndpointRecord | undefined, isRestored = false): void {
		this.#appearances.set(name, {
			startedAt, softwareVersion, absentAt: this.#confirmedAt, replaced: replaced?.startedAt, isRestored,
		});
	}

	forget(name: string): void {
		this.#appearances.delete(name);
	}

	/** As of when an endpoint's row was not listed yet, in milliseconds of the steady clock; the distant past if that is not known. */
	absentAt({name, startedAt}: EndpointRecord): number {
		const row = this.#appearances.get(name);
		return row?.startedAt === startedAt && !row.isRestored ? row.absentAt : Number.NEGATIVE_INFINITY;
	}

	/**
	 * Whether the process at an endpoint's address is the one that wrote the endpoint's row: it was there when the row was written, it is
	 * the next one after the process of the former row, or the list had no other row although it had the time to write one.
	 */
	isProcessOf({name, startedAt, softwareVersion}: EndpointRecord, {since, successorOf}: ObservedProcess): boolean {
		const row = this.#appearances.get(name);
		if (row?.startedAt !== startedAt || row.softwareVersion !== softwareVersion) {
			return false;
		}

		// A store that came back from a copy may show a row that is older than the one before.
		const wasThere = since <= row.absentAt && (row.replaced === undefined || startedAt > row.replaced);
		const isNext = successorOf !== undefined && startedAt > successorOf && (row.replaced ?? successorOf) === successorOf;
		return wasThere || isNext || (this.#confirmedAt > row.absentAt && this.#confirmedAt >= since + firstRowMilliseconds);
	}
}
