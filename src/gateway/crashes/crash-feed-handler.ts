/**
 * Applies the reports of crashes in the store's table, and those that are still to be written there, to the ledger of this instance;
 * the table's other rows are ignored.
 */
import {type FeedRow} from '../../ports/table-feed.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type Arrival, type FeedHandler} from '../watchers/feed-update.js';
import {type KeyedReport} from '../coordinator/report-relay.js';
import {type CrashLedger} from './crash-ledger.js';
import {type CrashReportPublisher} from './crash-report-publisher.js';
import {decodeReport} from './crash-report-rows.js';

export class CrashFeedHandler implements FeedHandler {
	readonly #ledger: CrashLedger;
	readonly #publisher: Pick<CrashReportPublisher, 'confirm' | 'isPending' | 'republish'>;

	constructor(ledger: CrashLedger, publisher: Pick<CrashReportPublisher, 'confirm' | 'isPending' | 'republish'>) {
		this.#ledger = ledger;
		this.#publisher = publisher;
	}

	/**
	 * Applies the whole table. A report that is missing from it was removed meanwhile, unless its write is still to come or a
	 * restored store has lost it; a restored store gets the reports of this instance again.
	 */
	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		this.handleChanges(rows, sentAt, now);
		if (arrival === 'restored') {
			this.#publisher.republish();
			return;
		}

		const keys = new Set(rows.map(({key}) => key));
		this.#ledger.change(() => {
			for (const key of this.#ledger.reports().keys()) {
				if (!keys.has(key) && !this.#publisher.isPending(key)) {
					this.#ledger.remove(key);
				}
			}
		});
	}

	handleChanges(rows: readonly FeedRow[], _sentAt: Moment, now: Moment): void {
		this.#ledger.change(() => {
			for (const {key, content, isDeleted} of rows) {
				const report = isDeleted ? undefined : decodeReport(content);
				if (report === undefined) {
					this.#ledger.remove(key);
				} else {
					this.#ledger.put(key, report);
					this.#publisher.confirm(key);
				}
			}

			this.#ledger.prune(now.wall);
		});
	}

	/** Applies reports that other instances have not been able to write yet; once they are, they come with the table. */
	handleUnconfirmed(reports: readonly KeyedReport[]): void {
		this.#ledger.change(() => {
			for (const [key, content] of reports) {
				const report = decodeReport(content);
				if (report !== undefined && !this.#ledger.reports().has(key)) {
					this.#ledger.put(key, report);
				}
			}
		});
	}

	handleFailure(): void {
		// Reports stay valid while the store does not answer.
	}
}
