/**
 * Writes the reports of this instance to the store's table, from which all instances read them.
 *
 * A report counts at this instance from the moment it is made. What is not confirmed is passed on to the coordinator, which writes
 * the reports of all in a few transactions: hundreds of instances lose connections to the same endpoint at the same moment, and
 * the store applies one transaction after another, the renewals of leases among them. An instance whose report is not in the
 * table after a while, or that has no coordinator, writes it itself, at a random time within a period that grows with the number
 * of instances. A write is repeated until it is confirmed, by its answer or by the table; writing a report twice changes nothing.
 */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type RowWrite, type TableService} from '../../ports/table-service.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type KeyedReport} from '../coordinator/report-relay.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type CrashLedger} from './crash-ledger.js';
import {type CrashReport, type SurvivalReport, type TrialReport} from './crash-reports.js';
import {
	crashTable, decodeReport, encodeReport, keyOfReport,
} from './crash-report-rows.js';

export type CrashReportPublisherDependencies = {
	instance: string;
	ledger: CrashLedger;
	store: Pick<TableService, 'commit'>;
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	/** Whether this instance is the coordinator, which writes the reports of the others and removes expired rows. */
	isCoordinator: () => boolean;
	/** Whether another instance is the coordinator and answers. */
	hasCoordinator: () => boolean;
	/** Sends the unconfirmed reports to the coordinator at once, if it answers. */
	passOn: () => void;
	/** How many instances write to the same store; 0 if that is not known. */
	instances: () => number;
	/** Returns a random number from 0 up to 1. */
	random: () => number;
};

/** Bounds of the delay after failed calls. Others have to know of a crash within seconds of the store's return. */
const minRetryDelayMilliseconds = 250;
const maxRetryDelayMilliseconds = 4000;
/** Time in which the coordinator writes the reports of many crashes, and they come back with the table. */
const coordinatorWriteMilliseconds = 5000;
/** What is written goes from the coordinator to each instance; this is the time for one row to one instance. */
const rowMilliseconds = 0.08;
/** All instances together make one call in this time on average, so that the store has room for the calls of others. */
const turnMilliseconds = 10;
/** Rows in one transaction: fewer than the platform allows, and far less than its bytes. */
const maxRowsPerWrite = 50;
/** How often expired reports are removed. */
const pruneIntervalMilliseconds = 10_000;

export class CrashReportPublisher implements Child {
	readonly name = 'crash-reports';
	readonly #dependencies: CrashReportPublisherDependencies;
	readonly #pending = new Map<string, RowWrite>();
	#failures = 0;
	/** How many rows the last call wrote. */
	#lastRows = 0;
	#wake = new AbortController();
	#isStoreUnavailable = false;

	constructor(dependencies: CrashReportPublisherDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records a report and queues its write. */
	publish(report: CrashReport | SurvivalReport): void {
		const key = keyOfReport(report);
		this.#dependencies.ledger.put(key, report);
		this.#queue({table: crashTable, key, value: encodeReport(report)});
		this.#dependencies.passOn();
	}

	/** Queues the writes of reports of other instances, but for those that this one knows already. */
	adopt(reports: readonly KeyedReport[]): void {
		const {ledger} = this.#dependencies;
		ledger.change(() => {
			for (const [key, content] of reports) {
				const report = decodeReport(content);
				if (report !== undefined && !ledger.reports().has(key)) {
					ledger.put(key, report);
					this.#queue({table: crashTable, key, value: encodeReport(report)});
				}
			}
		});
	}

	/** Records that the table contains a report, whichever instance has written it. */
	confirm(key: string): void {
		if (this.#pending.get(key)?.value !== undefined) {
			this.#pending.delete(key);
		}
	}

	/** Writes the report of a trial, unless another instance has done so; returns whether this one may make the trial. */
	async claim(key: string, report: TrialReport): Promise<boolean> {
		const {store, ledger} = this.#dependencies;
		const written = await store.commit({conditions: [{table: crashTable, key, revision: 0}], writes: [{table: crashTable, key, value: encodeReport(report)}]});
		if (written.isLeft()) {
			return false;
		}

		ledger.put(key, report);
		return true;
	}

	/** Queues all reports of this instance again, for a store that may have lost them. */
	republish(): void {
		const {instance, ledger} = this.#dependencies;
		for (const [key, report] of ledger.reports()) {
			if (report.instance === instance) {
				this.#queue({table: crashTable, key, value: encodeReport(report)});
			}
		}
	}

	/** The reports whose write the store has not confirmed. */
	unconfirmed(): KeyedReport[] {
		const {ledger} = this.#dependencies;
		return [...this.#pending.keys()].flatMap(key => {
			const report = ledger.reports().get(key);
			return report === undefined ? [] : [[key, encodeReport(report)] satisfies KeyedReport];
		});
	}

	/** Whether the write of a row is still to be confirmed. */
	isPending(key: string): boolean {
		return this.#pending.has(key);
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		while (!signal.aborted) {
			this.#wake = new AbortController();
			if (this.#pending.size === 0) {
				await clock.sleep(pruneIntervalMilliseconds, AbortSignal.any([signal, this.#wake.signal]));
				this.#prune();
			} else {
				await clock.sleep(this.#delayMilliseconds(), signal);
				this.#failures = await this.step() ? 0 : this.#failures + 1;
			}
		}
	}

	/** Writes the rows that were queued first; returns false if the store did not confirm them. */
	async step(): Promise<boolean> {
		const writes = [...this.#pending.values()].slice(0, maxRowsPerWrite);
		this.#lastRows = writes.length;
		if (writes.length === 0) {
			return true;
		}

		const result = await this.#dependencies.store.commit({conditions: [], writes});
		this.#logAvailability(result.isRight());
		if (result.isLeft()) {
			return false;
		}

		for (const write of writes) {
			// It may have been queued again, as a removal, while the call was in flight.
			if (this.#pending.get(write.key) === write) {
				this.#pending.delete(write.key);
			}
		}

		return true;
	}

	/** Returns how long to wait before the next call. */
	#delayMilliseconds(): number {
		const {isCoordinator, hasCoordinator, instances, random} = this.#dependencies;
		const turns = instances() * Math.max(turnMilliseconds, Math.min(this.#pending.size, maxRowsPerWrite) * instances() * rowMilliseconds);
		if (this.#failures > 0) {
			const delay = Math.max(minRetryDelayMilliseconds, turns) * (2 ** (this.#failures - 1));
			return Math.min(delay, Math.max(maxRetryDelayMilliseconds, turns)) * (0.5 + random());
		}

		if (isCoordinator()) {
			return this.#lastRows * instances() * rowMilliseconds;
		}

		return (hasCoordinator() ? coordinatorWriteMilliseconds : 0) + (turns * random());
	}

	#prune(): void {
		const {ledger, clock, isCoordinator} = this.#dependencies;
		const removed = ledger.prune(clock.moment().wall);
		if (isCoordinator()) {
			for (const key of removed) {
				this.#queue({table: crashTable, key});
			}
		}
	}

	#queue(write: RowWrite): void {
		this.#pending.set(write.key, write);
		this.#wake.abort();
	}

	#logAvailability(isAvailable: boolean): void {
		if (isAvailable === this.#isStoreUnavailable) {
			this.#isStoreUnavailable = !isAvailable;
			this.#dependencies.log.record(isAvailable ? 'dependency-regained' : 'dependency-lost', {dependency: 'store', table: crashTable, pending: this.#pending.size});
		}
	}
}
