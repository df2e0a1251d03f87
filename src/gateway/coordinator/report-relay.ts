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

type KeptReport = {key: string; content: JsonValue; evidence: ReportEvidence | undefined; at: number};
type UrgentReport = KeptReport & {number: number};

/** The reports at the coordinator. */
export class ReportRelay {
	#urgent: UrgentReport[] = [];
	#others = new Map<string, KeptReport>();
	/** By feature: the incarnations that ended with a request that had it. */
	readonly #crashes = new Map<string, Set<string>>();
	/** The features of urgent reports of crashes. */
	readonly #urgentFeatures = new Set<string>();
	#last = 0;

	/** Keeps reports that a follower has sent. */
	add(reports: readonly KeyedReport[], now: number): void {
		this.#forget(now);
		const before = this.#last;
		for (const [key, content] of reports) {
			if (!this.#others.has(key) && this.#urgent.every(kept => kept.key !== key)) {
				this.#add({
					key, content, evidence: evidenceOf(content), at: now,
				});
			}
		}

		if (this.#last > before) {
			this.#makeOthersUrgent();
		}

		if (this.#others.size > maxOthers) {
			this.#others = new Map([...this.#others].slice(-maxOthers));
		}

		this.#urgent = this.#urgent.slice(-maxUrgent);
	}

	/**
	 * Lists what a follower has not received; what the store has confirmed comes to it with the table.
	 *
	 * @param position - The position of its last answer; 0 before the first one.
	 * @param isUnwritten - Whether the store has not confirmed a report, as far as the coordinator knows.
	 * @returns The reports, and its new position.
	 */
	after(position: number, isUnwritten: (key: string) => boolean = () => true): {reports: KeyedReport[]; position: number} {
		const reports = this.#urgent.filter(({key, number}) => number > position && isUnwritten(key)).map(({key, content}): KeyedReport => [key, content]);
		return {reports, position: this.#last};
	}

	#add(report: KeptReport): void {
		const {evidence} = report;
		if (evidence?.kind === 'crash') {
			this.#noteCrash(evidence);
		}

		if (evidence === undefined || this.#isUrgent(evidence)) {
			this.#makeUrgent(report);
		} else {
			this.#others.set(report.key, report);
		}
	}

	#noteCrash({incarnation = '', features}: ReportEvidence): void {
		for (const feature of features) {
			this.#crashes.set(feature, (this.#crashes.get(feature) ?? new Set()).add(incarnation));
		}
	}

	#isUrgent({kind, features}: ReportEvidence): boolean {
		return kind === 'crash'
			? features.some(feature => (this.#crashes.get(feature)?.size ?? 0) > 1)
			: features.some(feature => this.#urgentFeatures.has(feature));
	}

	/** A report that has become urgent shares a feature with others, and answers may clear its other features. */
	#makeOthersUrgent(): void {
		for (const kind of ['crash', 'survival'] as const) {
			for (const report of this.#others.values()) {
				if (report.evidence?.kind === kind && this.#isUrgent(report.evidence)) {
					this.#others.delete(report.key);
					this.#makeUrgent(report);
				}
			}
		}
	}

	#makeUrgent(report: KeptReport): void {
		this.#last++;
		this.#urgent.push({...report, number: this.#last});
		if (report.evidence?.kind === 'crash') {
			for (const feature of report.evidence.features) {
				this.#urgentFeatures.add(feature);
			}
		}
	}

	#forget(now: number): void {
		const isKept = ({at}: KeptReport): boolean => now - at < maxAgeMilliseconds;
		const kept = [...this.#others.values()].filter(report => isKept(report));
		const urgent = this.#urgent.filter(report => isKept(report));
		if (kept.length === this.#others.size && urgent.length === this.#urgent.length) {
			return;
		}

		this.#others = new Map(kept.map(report => [report.key, report]));
		this.#urgent = urgent;
		this.#crashes.clear();
		this.#urgentFeatures.clear();
		for (const {evidence} of [...kept, ...urgent]) {
			if (evidence?.kind === 'crash') {
				this.#noteCrash(evidence);
			}
		}

		for (const {evidence} of urgent) {
			for (const feature of evidence?.kind === 'crash' ? evidence.features : []) {
				this.#urgentFeatures.add(feature);
			}
		}
	}
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
