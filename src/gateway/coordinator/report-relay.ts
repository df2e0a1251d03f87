/**
 * Passes reports between instances that the store has not confirmed yet: a store that is slow or unavailable keeps them from the
 * other instances, while the coordinator answers. Each follower sends a report once for each connection, and receives those of
 * all others in the order in which they arrived.
 */
import {type JsonValue} from '../../shared/types.js';

/** A report under the key of its row; what it holds concerns only those who send and receive it. */
export type KeyedReport = [key: string, content: JsonValue];

/** Writes the reports of all followers to the store. */
export type CrashReportWriter = {
	/** Queues the writes of reports that are not known yet. */
	adopt: (reports: readonly KeyedReport[]) => void;
	/** Whether the write of a report is still to be confirmed. */
	isUnwritten: (key: string) => boolean;
};

/** How many reports the coordinator keeps for followers that have not asked since. */
const maxKept = 256;
/** By then the store has confirmed a report, or its sender has sent it to another coordinator. */
const maxAgeMilliseconds = 120_000;

/** The reports at the coordinator. */
export class ReportRelay {
	#kept: Array<{key: string; content: JsonValue; number: number; at: number}> = [];
	#last = 0;

	/** Keeps reports that a follower has sent. */
	add(reports: readonly KeyedReport[], now: number): void {
		for (const [key, content] of reports) {
			if (this.#kept.every(kept => kept.key !== key)) {
				this.#last++;
				this.#kept.push({
					key, content, number: this.#last, at: now,
				});
			}
		}

		this.#kept = this.#kept.filter(({at}) => now - at < maxAgeMilliseconds).slice(-maxKept);
	}

	/**
	 * Lists what a follower has not received; what the store has confirmed comes to it with the table.
	 *
	 * @param position - The position of its last answer; 0 before the first one.
	 * @param isUnwritten - Whether the store has not confirmed a report, as far as the coordinator knows.
	 * @returns The reports, and its new position.
	 */
	after(position: number, isUnwritten: (key: string) => boolean = () => true): {reports: KeyedReport[]; position: number} {
		const reports = this.#kept.filter(({key, number}) => number > position && isUnwritten(key)).map(({key, content}): KeyedReport => [key, content]);
		return {reports, position: this.#last};
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
