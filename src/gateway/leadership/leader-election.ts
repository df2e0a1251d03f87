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
export type LeaderElectionOptions = {
	table: string;
	lease: string;
	instance: string;
	/** Where other instances reach the holder. */
	address: string;
	leaseMilliseconds: number;
	/** How long a grant lasts, if the store answers quickly. */
	grantMilliseconds: number;
	/** Delay after which this instance tries to acquire a lease that another one held, in milliseconds; 0 if absent. */
	acquisitionDelayMilliseconds?: () => number;
};

/** Dependencies of an election. */
export type LeaderElectionDependencies = {
	store: TableService & ClockedTable;
	clock: MomentClock;
	log: DecisionLog;
};

/** Delay before the row is read again after a failed call. */
const retryMilliseconds = 500;
/** A store that answers slowly is called so much earlier that one slow renewal after another still completes in time. */
const renewalsInMargin = 2;
/** A grant lasts at least this many renewals as slow as the last one, or a slow store would leave no time to lead. */
const renewalsInGrant = 4;

export class LeaderElection {
	readonly #options: LeaderElectionOptions;
	readonly #dependencies: LeaderElectionDependencies;
	#grant: LeaseGrant | undefined;
	#nextCallAt = 0;
	#lastRenewalMilliseconds = 0;
	/** The row as it was last read or written, whichever instance holds it. */
	#lastSeenRow: LeaseRow | undefined;
	#handover: Readonly<Record<string, number>> = {};
	/** The state of the row that was read last, and since when it has been the same, on the steady clock. */
	#unchanged: {era: number; revision: number; since: number} | undefined;

	constructor(options: LeaderElectionOptions, dependencies: LeaderElectionDependencies) {
		this.#options = options;
		this.#dependencies = dependencies;
	}

	/** The grant, as long as this instance holds the lease. */
	get grant(): LeaseGrant | undefined {
		return this.remainingMilliseconds() > 0 ? this.#grant : undefined;
	}

	/** The last grant while no other instance can hold the lease yet, which is for a while after the grant has ended. */
	get uncontestedGrant(): LeaseGrant | undefined {
		return this.#grant !== undefined && isUncontested(this.#grant, this.#options.leaseMilliseconds, this.#dependencies.clock.moment()) ? this.#grant : undefined;
	}

	/** Whether no other instance can hold the lease yet. */
	get isUncontested(): boolean {
		return this.uncontestedGrant !== undefined;
	}

	/** The row as it was last read or written. */
	get lastSeenRow(): LeaseRow | undefined {
		return this.#lastSeenRow;
	}

	/** The handover in the row before the last grant, from the previous holder or from this instance itself. */
	get handover(): Readonly<Record<string, number>> {
		return this.#handover;
	}

	get #grantMilliseconds(): number {
		const {grantMilliseconds, leaseMilliseconds} = this.#options;
		return Math.max(grantMilliseconds, Math.min(maxGrantMilliseconds(leaseMilliseconds), renewalsInGrant * this.#lastRenewalMilliseconds));
	}

	/** A grant with less than this left is to be renewed: the time of two renewals as slow as the last one. */
	get renewBeforeMilliseconds(): number {
		return renewalsInMargin * this.#lastRenewalMilliseconds;
	}

	/** Milliseconds for which this instance still holds the lease; 0 if it does not. */
	remainingMilliseconds(): number {
		const remaining = this.#grant === undefined ? 0 : remainingGrantMilliseconds(this.#grant, this.#dependencies.clock.moment());
		return Math.max(0, remaining);
	}

	/**
	 * Acquires or renews the lease if the row allows it; makes no call sooner than an earlier answer allowed.
	 *
	 * @param engines - Engines that the holder changes, for others to avoid them.
	 * @param handover - State for the next holder.
	 */
	async acquireOrRenew(engines: string[] = [], handover?: Record<string, number>): Promise<void> {
		const {store, clock, log} = this.#dependencies;
		const name = {table: this.#options.table, key: this.#options.lease};
		if (clock.moment().steady < this.#nextCallAt) {
			return;
		}

		const since = clock.moment();
		const read = await store.readClocked(name);
		if (read.isLeft()) {
			this.#delayNextCall(retryMilliseconds);
			return;
		}

		const {row, storeMilliseconds, era} = read.unsafeCoerce();
		this.#lastSeenRow = row?.value as LeaseRow | undefined;
		const reading = {storeMilliseconds, era, unchangedMilliseconds: this.#unchangedMilliseconds(era, row?.revision ?? 0, since)};
		const decided = decideLease(this.#lastSeenRow, this.#options.instance, reading, {
			leaseMilliseconds: this.#options.leaseMilliseconds, actingMilliseconds: this.#grantMilliseconds,
		});
		if (decided.kind === 'wait') {
			this.discardGrant('another instance holds it, or may hold it');
			this.#delayNextCall(decided.milliseconds + (this.#options.acquisitionDelayMilliseconds?.() ?? 0));
			return;
		}

		const granted: LeaseRow = {
			...decided.row, address: this.#options.address, engines, ...(handover === undefined ? {} : {legacy: handover}),
		};
		const written = await store.commit({conditions: [{...name, revision: row?.revision ?? 0}], writes: [{...name, value: granted}]});
		// In a later era the condition may have held by coincidence, for a revision that was used again.
		if (written.isLeft() || store.era > era) {
			this.#noteConflict(written);
			this.#delayNextCall(retryMilliseconds);
			return;
		}

		if (this.remainingMilliseconds() === 0) {
			log.record('lease-taken', {duty: this.#options.lease, fencingNumber: granted.fencingNumber, grantedAt: granted.grantedAt});
		}

		this.#lastRenewalMilliseconds = clock.moment().steady - since.steady;
		this.#handover = row?.value === undefined ? {} : (row.value as LeaseRow).legacy ?? {};
		this.#lastSeenRow = granted;
		this.#grant = {row: granted, since};
	}

	/** Reads who holds the lease, and does not acquire it. */
	async readHolder(): Promise<void> {
		const {store, clock} = this.#dependencies;
		if (clock.moment().steady < this.#nextCallAt) {
			return;
		}

		const read = await store.readClocked({table: this.#options.table, key: this.#options.lease});
		read.ifRight(({row}) => {
			this.#lastSeenRow = row?.value as LeaseRow | undefined;
		});
		this.#delayNextCall(retryMilliseconds);
	}

	/** Drops the grant, and logs the reason. */
	discardGrant(reason: string): void {
		if (this.#grant !== undefined) {
			this.#dependencies.log.record('lease-lost', {duty: this.#options.lease, fencingNumber: this.#grant.row.fencingNumber, reason});
		}

		this.#grant = undefined;
	}

	/**
	 * Releases the lease, so that another instance may acquire it at once. Nothing under the lease may be in flight by then.
	 */
	async release(): Promise<void> {
		const {store} = this.#dependencies;
		const name = {table: this.#options.table, key: this.#options.lease};
		const held = this.grant;
		if (held === undefined) {
			return;
		}

		this.discardGrant('given back');
		const read = await store.readClocked(name);
		const {row} = read.orDefault({row: undefined, storeMilliseconds: 0, era: 0});
		const value = row?.value as LeaseRow | undefined;
		if (row !== undefined && value?.holder === this.#options.instance) {
			await store.commit({conditions: [{...name, revision: row.revision}], writes: [{...name, value: releasedRow(value)}]});
		}
	}

	/** The conflict names the new holder, which saves another read. */
	#noteConflict(written: Either<TableFailure, void>): void {
		written.ifLeft(failure => {
			if (failure.kind === 'conflict') {
				this.#lastSeenRow = failure.current.find(({key}) => key === this.#options.lease)?.value as LeaseRow | undefined ?? this.#lastSeenRow;
			}
		});
	}

	/** For how many milliseconds the row, as a read sent at `sentAt` found it, is certain to have been unchanged. */
	#unchangedMilliseconds(era: number, revision: number, sentAt: Moment): number {
		if (this.#unchanged?.era !== era || this.#unchanged.revision !== revision) {
			this.#unchanged = {era, revision, since: this.#dependencies.clock.moment().steady};
		}

		return Math.max(0, sentAt.steady - this.#unchanged.since);
	}

	#delayNextCall(milliseconds: number): void {
		this.#nextCallAt = this.#dependencies.clock.moment().steady + milliseconds;
	}
}
