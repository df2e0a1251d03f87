/** Acquires, renews and releases the lease by which instances elect a leader; the rules are in `src/protocol/lease`. */
import {type Either} from 'purify-ts/Either';
import {type ClockedTable} from '../../ports/clocked-table.js';
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {type TableFailure, type TableService} from '../../ports/table-service.js';
import {
	decideLease, type LeaseGrant, type LeaseRow, isUncontested, remainingGrantMilliseconds, maxGrantMilliseconds, releasedRow,
} from '../../protocol/lease/leader-lease.js';
import {type DecisionLog} from '../observability/decision-log.js';

/** Which lease, and for whom. */
export type DutyPlan = {
	table: string;
	duty: string;
	instance: string;
	/** Where other instances reach the holder. */
	address: string;
	leaseMilliseconds: number;
	/** How long a grant lasts, if the store answers quickly. */
	actingMilliseconds: number;
	/** Delay after which this instance tries to acquire a lease that another one held, in milliseconds; 0 if absent. */
	patienceMilliseconds?: () => number;
};

/** Dependencies of an election. */
export type DutyTools = {
	store: TableService & ClockedTable;
	clock: MomentClock;
	log: DecisionLog;
};

/** Delay before the row is read again after a failed call. */
const retryMilliseconds = 500;
/** A store that answers slowly is called so much earlier that one slow renewal after another still completes in time. */
const renewalsBefore = 2;
/** A grant lasts at least this many renewals as slow as the last one, or a slow store would leave no time to lead. */
const renewalsInGrant = 4;

export class DutySeat {
	readonly #plan: DutyPlan;
	readonly #tools: DutyTools;
	#grant: LeaseGrant | undefined;
	#notBefore = 0;
	#seekMilliseconds = 0;
	/** The row as it was last read or written, whichever instance holds it. */
	#seen: LeaseRow | undefined;
	#inherited: Readonly<Record<string, number>> = {};
	/** The state of the row that was read last, and since when it has been the same, on the steady clock. */
	#unchanged: {era: number; revision: number; since: number} | undefined;

	constructor(plan: DutyPlan, tools: DutyTools) {
		this.#plan = plan;
		this.#tools = tools;
	}

	/** The grant, as long as this instance holds the lease. */
	get grant(): LeaseGrant | undefined {
		return this.left() > 0 ? this.#grant : undefined;
	}

	/** Whether no other instance can hold the lease yet; stays true for a while after this instance's grant has ended. */
	get isUncontested(): boolean {
		return this.#grant !== undefined && isUncontested(this.#grant, this.#plan.leaseMilliseconds, this.#tools.clock.moment());
	}

	/** The row as it was last read or written. */
	get seen(): LeaseRow | undefined {
		return this.#seen;
	}

	/** The handover in the row before the last grant, from the holder before or from this instance itself. */
	get inherited(): Readonly<Record<string, number>> {
		return this.#inherited;
	}

	get #actingMilliseconds(): number {
		const {actingMilliseconds, leaseMilliseconds} = this.#plan;
		return Math.max(actingMilliseconds, Math.min(maxGrantMilliseconds(leaseMilliseconds), renewalsInGrant * this.#seekMilliseconds));
	}

	/** A grant with less than this left is to be renewed: the time of two renewals as slow as the last one. */
	get renewalMilliseconds(): number {
		return renewalsBefore * this.#seekMilliseconds;
	}

	/** Milliseconds for which this instance still holds the lease; 0 if it does not. */
	left(): number {
		const left = this.#grant === undefined ? 0 : remainingGrantMilliseconds(this.#grant, this.#tools.clock.moment());
		return Math.max(0, left);
	}

	/**
	 * Acquires or renews the lease if the row allows it; makes no call sooner than an earlier answer allowed.
	 *
	 * @param engines - Engines that the holder changes, for others to avoid them.
	 * @param legacy - State for the next holder.
	 */
	async seek(engines: string[] = [], legacy?: Record<string, number>): Promise<void> {
		const {store, clock, log} = this.#tools;
		const name = {table: this.#plan.table, key: this.#plan.duty};
		if (clock.moment().steady < this.#notBefore) {
			return;
		}

		const since = clock.moment();
		const read = await store.readClocked(name);
		if (read.isLeft()) {
			this.#lookAgainIn(retryMilliseconds);
			return;
		}

		const {row, storeMilliseconds, era} = read.unsafeCoerce();
		this.#seen = row?.value as LeaseRow | undefined;
		const reading = {storeMilliseconds, era, unchangedMilliseconds: this.#unchangedFor(era, row?.revision ?? 0, since)};
		const decided = decideLease(this.#seen, this.#plan.instance, reading, {
			leaseMilliseconds: this.#plan.leaseMilliseconds, actingMilliseconds: this.#actingMilliseconds,
		});
		if (decided.kind === 'wait') {
			this.lose('another instance holds it, or may hold it');
			this.#lookAgainIn(decided.milliseconds + (this.#plan.patienceMilliseconds?.() ?? 0));
			return;
		}

		const granted: LeaseRow = {
			...decided.row, address: this.#plan.address, engines, ...(legacy === undefined ? {} : {legacy}),
		};
		const written = await store.commit({conditions: [{...name, revision: row?.revision ?? 0}], writes: [{...name, value: granted}]});
		// In a later era the condition may have held by coincidence, for a revision that was used again.
		if (written.isLeft() || store.era > era) {
			this.#noteConflict(written);
			this.#lookAgainIn(retryMilliseconds);
			return;
		}

		if (this.left() === 0) {
			log.record('lease-taken', {duty: this.#plan.duty, fencingNumber: granted.fencingNumber, grantedAt: granted.grantedAt});
		}

		this.#seekMilliseconds = clock.moment().steady - since.steady;
		this.#inherited = row?.value === undefined ? {} : (row.value as LeaseRow).legacy ?? {};
		this.#seen = granted;
		this.#grant = {row: granted, since};
	}

	/** Reads who holds the lease, and does not acquire it. */
	async look(): Promise<void> {
		const {store, clock} = this.#tools;
		if (clock.moment().steady < this.#notBefore) {
			return;
		}

		const read = await store.readClocked({table: this.#plan.table, key: this.#plan.duty});
		read.ifRight(({row}) => {
			this.#seen = row?.value as LeaseRow | undefined;
		});
		this.#lookAgainIn(retryMilliseconds);
	}

	/** Drops the grant, and logs the reason. */
	lose(reason: string): void {
		if (this.#grant !== undefined) {
			this.#tools.log.record('lease-lost', {duty: this.#plan.duty, fencingNumber: this.#grant.row.fencingNumber, reason});
		}

		this.#grant = undefined;
	}

	/**
	 * Releases the lease, so that another instance may acquire it at once. Nothing under the lease may be in flight by then.
	 */
	async release(): Promise<void> {
		const {store} = this.#tools;
		const name = {table: this.#plan.table, key: this.#plan.duty};
		const held = this.grant;
		if (held === undefined) {
			return;
		}

		this.lose('given back');
		const read = await store.readClocked(name);
		const {row} = read.orDefault({row: undefined, storeMilliseconds: 0, era: 0});
		const value = row?.value as LeaseRow | undefined;
		if (row !== undefined && value?.holder === this.#plan.instance) {
			await store.commit({conditions: [{...name, revision: row.revision}], writes: [{...name, value: releasedRow(value)}]});
		}
	}

	/** The conflict names the new holder, which saves another read. */
	#noteConflict(written: Either<TableFailure, void>): void {
		written.ifLeft(failure => {
			if (failure.kind === 'conflict') {
				this.#seen = failure.current.find(({key}) => key === this.#plan.duty)?.value as LeaseRow | undefined ?? this.#seen;
			}
		});
	}

	/** For how many milliseconds the row is certain to have stood as it was found by a read that was sent at `sentAt`. */
	#unchangedFor(era: number, revision: number, sentAt: Moment): number {
		if (this.#unchanged?.era !== era || this.#unchanged.revision !== revision) {
			this.#unchanged = {era, revision, since: this.#tools.clock.moment().steady};
		}

		return Math.max(0, sentAt.steady - this.#unchanged.since);
	}

	#lookAgainIn(milliseconds: number): void {
		this.#notBefore = this.#tools.clock.moment().steady + milliseconds;
	}
}
