/**
 * Decides whether a row of the endpoints' list is believed when it arrives.
 *
 * A write that got no answer may be performed seconds later, so a row may be older than the one before it, or than the removal of
 * its endpoint. Believed by its arrival, it would make an endpoint usable that has left. Rows of a name are ordered by the start of
 * the incarnation and then by the count of its writes, and what was known of a removed row is remembered.
 *
 * A row that is not newer than what is known is held. The list removes the row of an endpoint that does not renew it, so a held row
 * that stays for longer than that, while the store answers, belongs to a living endpoint, whose clock may have been set back or
 * whose store may have come back from an older copy; it is believed then.
 *
 * The list shows the count only when something else in the row changes. After the removal of a row a higher count therefore does
 * not prove that the endpoint is back: such a row is held too, and its endpoint is used where no other is left.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {rememberLatest} from '../../shared/remember-latest.js';
import {compareRows} from './compare-rows.js';

/** What is known of the endpoint of a row. */
export type RowKnowledge = {
	/** `missing`: its row vanished in an outage of the store; `removed`: it vanished otherwise, or was never there. */
	kind: 'listed' | 'missing' | 'removed';
	/** The newest row; of a removed one only its count is remembered. */
	record: EndpointRecord | undefined;
	/** Whether the incarnation of the row was seen to leave. */
	hasDeparted: boolean;
};

/**
 * What to do with a row.
 *
 * - `believe`: it is the newest one.
 * - `known`: it says what was known before.
 * - `hold`: it may be older than what is known, and is held from now on.
 * - `held`: the same, and it was held before.
 */
export type RowDecision = 'believe' | 'known' | 'hold' | 'held';

/**
 * Why a row is held.
 *
 * - `older`: a newer one was known.
 * - `removed`: the row of its endpoint was removed while the store was available.
 */
export type HoldReason = 'older' | 'removed';

/** A row that is held, and until when, in milliseconds of the steady clock. */
export type HeldRow = {record: EndpointRecord; reason: HoldReason; until: number};

type RowCount = Pick<EndpointRecord, 'startedAt' | 'sequence'>;

/** The list removes a row that was not renewed for this many heartbeats. */
const heartbeatsToExpiry = 3;
/** Time for the removal to arrive. */
const expiryDelayMilliseconds = 1400;
/** Removed rows that are remembered: those of several minutes while all endpoints of a large deployment are replaced. */
const maxRemoved = 2000;

/** What follows from a row with the count that is known. */
const holdReasonsOfSame: Record<RowKnowledge['kind'], HoldReason | 'known' | undefined> = {listed: 'known', missing: undefined, removed: 'older'};

export class RowOrder {
	readonly #standingMilliseconds: number;
	readonly #held = new Map<string, HeldRow>();
	/** The newest count of each removed row, by the endpoint's name. */
	readonly #removed = new Map<string, RowCount>();

	/** @param heartbeatMilliseconds - How often an endpoint renews its row. */
	constructor(heartbeatMilliseconds: number) {
		this.#standingMilliseconds = (heartbeatsToExpiry * heartbeatMilliseconds) + expiryDelayMilliseconds;
	}

	/** The rows that are held. */
	get held(): Iterable<HeldRow> {
		return this.#held.values();
	}

	/**
	 * Decides about a row.
	 *
	 * @param row - The row.
	 * @param known - What is known of its endpoint.
	 * @param now - Milliseconds of the steady clock.
	 * @param isRestored - Whether the store has just come back from an older copy.
	 */
	decide(row: EndpointRecord, known: RowKnowledge, now: number, isRestored: boolean): RowDecision {
		const reason = this.#holdReason(row, known, isRestored);
		if (reason === undefined) {
			this.#held.delete(row.name);
			this.#removed.delete(row.name);
			return 'believe';
		}

		if (reason === 'known') {
			this.#held.delete(row.name);
			return 'known';
		}

		const held = this.#held.get(row.name);
		// A living endpoint may write other rows meanwhile; the row of its incarnation is not removed.
		const until = held?.record.startedAt === row.startedAt ? held.until : now + this.#standingMilliseconds;
		this.#held.set(row.name, {record: row, reason, until});
		return held !== undefined && compareRows(row, held.record) === 'same' ? 'held' : 'hold';
	}

	/** The row of a name that is held. */
	heldRow(name: string): HeldRow | undefined {
		return this.#held.get(name);
	}

	/** Records that the row of a name was removed, and what the newest one said. */
	noteRemoved(name: string, newest: EndpointRecord | undefined): void {
		const held = this.#held.get(name)?.record;
		this.#held.delete(name);
		for (const row of [newest, held]) {
			const remembered = this.#removed.get(name);
			if (row !== undefined && (remembered === undefined || compareRows(row, remembered) === 'newer')) {
				rememberLatest(this.#removed, name, {startedAt: row.startedAt, sequence: row.sequence}, maxRemoved);
			}
		}
	}

	/** Forgets the held rows of all other names. */
	retain(names: ReadonlySet<string>): void {
		for (const name of this.#held.keys()) {
			if (!names.has(name)) {
				this.noteRemoved(name, undefined);
			}
		}
	}

	/** Records that the store failed to answer: rows that are held then may be missing their removal. */
	noteStoreFailure(failedAt: number): void {
		for (const held of this.#held.values()) {
			held.until = Math.max(held.until, failedAt + this.#standingMilliseconds);
		}
	}

	/** Returns the rows that were held for long enough, which are not held any more. */
	release(now: number): EndpointRecord[] {
		const released = [...this.#held.values()].filter(({until}) => until <= now).map(({record}) => record);
		for (const {name} of released) {
			this.#held.delete(name);
			this.#removed.delete(name);
		}

		return released;
	}

	#holdReason(row: EndpointRecord, {kind, record, hasDeparted}: RowKnowledge, isRestored: boolean): HoldReason | 'known' | undefined {
		const latest = record ?? this.#removed.get(row.name);
		switch (latest === undefined ? 'unordered' : compareRows(row, latest)) {
			case 'unordered': {
				return isRestored && hasDeparted && row.state === 'ready' ? 'older' : undefined;
			}

			case 'older': {
				return 'older';
			}

			case 'same': {
				return holdReasonsOfSame[kind];
			}

			case 'newer': {
				return kind === 'removed' && latest?.startedAt === row.startedAt && row.state === 'ready' ? 'removed' : undefined;
			}
		}
	}
}
