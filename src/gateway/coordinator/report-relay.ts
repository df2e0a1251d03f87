/**
 * Passes reports of crashes between instances before they have read them from the table: each follower sends a report once for each
 * connection, and receives the urgent ones of all others in the order in which they became so.
 *
 * Hundreds of instances report each crash, with the requests that each of them lost. Sent to all of them at once, these reports would
 * use up the coordinator's link, and no query would be answered in time. Most have nothing in common with another crash, so
 * nobody decides anything by them, and the table brings them soon enough. Urgent are those with a feature that another endpoint had in
 * flight when it ended, and answers that clear such a feature.
 */
import {type JsonValue} from '../../shared/types.js';
import {evidenceOf, type ReportEvidence} from '../crashes/report-evidence.js';

/** A report under the key of its row; what it holds concerns only those who send and receive it. */
export type KeyedReport = [key: string, content: JsonValue];

/** Writes the reports of all followers to the store. */
export type CrashReportWriter = {
	/** Queues the writes of reports that are not known yet. */
	adopt: (reports: readonly KeyedReport[]) => void;
	/** Whether the write of a report is still to be confirmed. */
	isUnwritten: (key: string) => boolean;
};

/** How many urgent reports the coordinator keeps for followers that have not asked since. */
const maxUrgent = 256;
/** How many reports are kept that may become urgent by later ones. */
const maxOthers = 4096;
/** By then the store has confirmed a report, or its sender has sent it to another coordinator. */
const maxAgeMilliseconds = 120_000;

/** How often expired reports are searched for. */
const forgetIntervalMilliseconds = 1000;

type KeptReport = {key: string; content: JsonValue; evidence: ReportEvidence | undefined; at: number};
type UrgentReport = KeptReport & {number: number};
type OtherReport = KeptReport & {evidence: ReportEvidence};

/** The reports at the coordinator. */
export class ReportRelay {
	/** By key, the oldest first. */
	#urgent = new Map<string, UrgentReport>();
	#others = new Map<string, OtherReport>();
	/** The others by feature, so that a report costs what it has in common with them. */
	readonly #othersWith = new Map<string, Set<OtherReport>>();
	/** By feature: the incarnations that ended with a request that had it. */
	readonly #crashes = new Map<string, Set<string>>();
	/** The features of urgent reports of crashes. */
	readonly #urgentFeatures = new Set<string>();
	#last = 0;
	#forgottenAt = Number.NEGATIVE_INFINITY;

	/** Keeps reports that a follower has sent. */
	add(reports: readonly KeyedReport[], now: number): void {
		this.#forget(now);
		for (const [key, content] of reports) {
			if (!this.#others.has(key) && !this.#urgent.has(key)) {
				this.#add({
					key, content, evidence: evidenceOf(content), at: now,
				});
			}
		}

		for (const report of this.#others.values()) {
			if (this.#others.size <= maxOthers) {
				break;
			}

			this.#removeOther(report);
		}

		for (const key of this.#urgent.keys()) {
			if (this.#urgent.size <= maxUrgent) {
				break;
			}

			this.#urgent.delete(key);
		}
	}

	/**
	 * Lists what a follower has not received; what the store has confirmed comes to it with the table.
	 *
	 * @param position - The position of its last answer; 0 before the first one.
	 * @param isUnwritten - Whether the store has not confirmed a report, as far as the coordinator knows.
	 * @returns The reports, and its new position.
	 */
	after(position: number, isUnwritten: (key: string) => boolean = () => true): {reports: KeyedReport[]; position: number} {
		const unsent = position < this.#last ? [...this.#urgent.values()] : [];
		const reports = unsent.filter(({key, number}) => number > position && isUnwritten(key)).map(({key, content}): KeyedReport => [key, content]);
		return {reports, position: this.#last};
	}

	#add(report: KeptReport): void {
		const {evidence} = report;
		const common = evidence?.kind === 'crash' ? this.#noteCrash(evidence) : [];
		if (evidence === undefined || this.#isUrgent(evidence)) {
			this.#makeUrgent(report);
		} else {
			this.#addOther({...report, evidence});
		}

		this.#makeOthersUrgent('crash', common);
	}

	/** Returns the features that had been present at no more than one crash. */
	#noteCrash({incarnation = '', features}: ReportEvidence): string[] {
		return features.filter(feature => {
			const incarnations = this.#crashes.get(feature) ?? new Set();
			this.#crashes.set(feature, incarnations);
			const wasCommon = incarnations.size > 1;
			incarnations.add(incarnation);
			return !wasCommon && incarnations.size > 1;
		});
	}

	#isUrgent({kind, features}: ReportEvidence): boolean {
		return kind === 'crash'
			? features.some(feature => (this.#crashes.get(feature)?.size ?? 0) > 1)
			: features.some(feature => this.#urgentFeatures.has(feature));
	}

	#makeOthersUrgent(kind: ReportEvidence['kind'], features: readonly string[]): void {
		for (const feature of features) {
			for (const report of this.#othersWith.get(feature) ?? []) {
				if (report.evidence.kind === kind) {
					this.#removeOther(report);
					this.#makeUrgent(report);
				}
			}
		}
	}

	/** A report of a crash that becomes urgent shares a feature with others, and answers may clear its other features. */
	#makeUrgent(report: KeptReport): void {
		this.#last++;
		this.#urgent.set(report.key, {...report, number: this.#last});
		if (report.evidence?.kind === 'crash') {
			this.#makeOthersUrgent('survival', this.#addUrgentFeatures(report.evidence));
		}
	}

	/** Returns those features that no other urgent report has. */
	#addUrgentFeatures({features}: ReportEvidence): string[] {
		return features.filter(feature => {
			const isNew = !this.#urgentFeatures.has(feature);
			this.#urgentFeatures.add(feature);
			return isNew;
		});
	}

	#addOther(report: OtherReport): void {
		this.#others.set(report.key, report);
		for (const feature of report.evidence.features) {
			this.#othersWith.set(feature, (this.#othersWith.get(feature) ?? new Set()).add(report));
		}
	}

	#removeOther(report: OtherReport): void {
		this.#others.delete(report.key);
		for (const feature of report.evidence.features) {
			const reports = this.#othersWith.get(feature);
			reports?.delete(report);
			if (reports?.size === 0) {
				this.#othersWith.delete(feature);
			}
		}
	}

	#forget(now: number): void {
		const isExpired = ({at}: KeptReport): boolean => now - at >= maxAgeMilliseconds;
		const isDue = now - this.#forgottenAt >= forgetIntervalMilliseconds;
		if (!isDue || !(hasExpired(this.#others, isExpired) || hasExpired(this.#urgent, isExpired))) {
			return;
		}

		this.#forgottenAt = now;
		const others = [...this.#others.values()].filter(report => !isExpired(report));
		this.#urgent = new Map([...this.#urgent].filter(([, report]) => !isExpired(report)));
		this.#others = new Map();
		this.#othersWith.clear();
		this.#crashes.clear();
		this.#urgentFeatures.clear();
		for (const report of others) {
			this.#addOther(report);
		}

		for (const {evidence} of [...others, ...this.#urgent.values()]) {
			if (evidence?.kind === 'crash') {
				this.#noteCrash(evidence);
			}
		}

		for (const {evidence} of this.#urgent.values()) {
			if (evidence?.kind === 'crash') {
				this.#addUrgentFeatures(evidence);
			}
		}
	}
}

/** Whether the first of the reports has expired. They are in the order in which they came, so no other has if it has not. */
function hasExpired<Report>(reports: ReadonlyMap<string, Report>, isExpired: (report: Report) => boolean): boolean {
	const [oldest] = reports.values();
	return oldest !== undefined && isExpired(oldest);
}

/** The reports that a follower has sent over one connection. */
export class SentReports {
	readonly #keys = new Set<string>();

	/** Returns those of the unconfirmed reports that have not been sent, and counts them as sent. */
	take(unconfirmed: readonly KeyedReport[]): KeyedReport[] {
		const unsent = unconfirmed.filter(([key]) => !this.#keys.has(key));
		for (const [key] of unsent) {
			this.#keys.add(key);
		}

		if (unconfirmed.length === 0) {
			this.#keys.clear();
		}

		return unsent;
	}

	/** Forgets what was sent: the next connection may lead to another coordinator. */
	reset(): void {
		this.#keys.clear();
	}
}
