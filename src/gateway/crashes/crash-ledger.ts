/**
 * What this instance knows of the crashes of endpoints, its own findings and those of the other instances, and which requests
 * are blocked for them.
 *
 * The reports are the only state: what is blocked follows from them, so that instances with the same reports block the same
 * requests, in whichever order these arrived. A complete answer shows that the features of its request do not crash endpoints, and
 * clears them of the crashes that they were present at. What this instance has seen answered itself counts at once; the others
 * learn of it by a report.
 */
import {
	findCrashCauses, crashesToBlock, isBlockedBy, type Crash, type CrashCause,
} from '../../decision/crashes/find-crash-causes.js';
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {clearanceOf, crashesIn, reportedClearances} from './crash-evidence.js';
import {type CrashReport, type Report} from './crash-reports.js';

/** A request, as far as crashes are attributed. */
export type FeaturedRequest = {
	/** Its fingerprint and its blocks. */
	features: ReadonlySet<string>;
	workspace: string;
};

/** Why requests are blocked. */
export type Block = {
	/** A request with all of them is blocked. */
	features: readonly string[];
	/** The latest reports of the crashes, the newest last. */
	crashes: CrashReport[];
	/** When the evidence expires, in milliseconds since the epoch. */
	until: number;
	/** How many requests were sent all the same, to find out whether endpoints still crash on them. */
	trials: number;
	/** From when on the next one may be sent, in milliseconds since the epoch. */
	nextTrialAt: number;
};

/** The crashes that a feature was present at and has not been cleared of: by incarnation, the state of the answer. */
export type SuspectedCrashes = ReadonlyMap<string, AnswerProgress>;

/** A report expires after one day: by then the cause may have been fixed at the endpoints. */
export const reportRetentionMilliseconds = 86_400_000;
/** Endpoints may have been fixed meanwhile; each trial that fails makes the pause longer, as it ends another endpoint. */
const trialPauseMilliseconds = 900_000;
const trialPauseGrowth = 4;
/** How many reports are kept: far more than endpoints fail in a day. */
export const maxReports = 500;
/** How many blocks are kept in all reports: far more than the few of an ordinary crash, and a few megabytes. */
export const maxKnownBlocks = 16_384;

type KnownBlock = Block & {cause: CrashCause};

export class CrashLedger {
	readonly #listeners: Array<() => void> = [];
	readonly #reports = new Map<string, Report>();
	/** What this instance has seen answered itself. */
	readonly #ownClearances = new Set<string>();
	#reportedClearances: ReadonlySet<string> | undefined;
	/** `undefined` while they have to be computed again. */
	#blocks: readonly KnownBlock[] | undefined = [];
	#suspects: ReadonlyMap<string, SuspectedCrashes> = new Map();
	#isChanging = false;
	#hasChanged = false;

	/** What is blocked. */
	get blocks(): readonly Block[] {
		return this.#currentBlocks();
	}

	/** The features that were present at crashes and have not been cleared since. */
	get suspects(): ReadonlyMap<string, SuspectedCrashes> {
		this.#currentBlocks();
		return this.#suspects;
	}

	/** Calls the listener after reports were added or removed. */
	onChange(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** All reports by key. */
	reports(): ReadonlyMap<string, Report> {
		return this.#reports;
	}

	/** Adds a report under the key of its row. */
	put(key: string, report: Report): void {
		this.#reports.set(key, report);
		this.#notify();
	}

	remove(key: string): void {
		if (this.#reports.delete(key)) {
			this.#notify();
		}
	}

	/** Makes several changes, after which the listeners are called once: what follows from the reports costs milliseconds. */
	change(changes: () => void): void {
		if (this.#isChanging) {
			changes();
			return;
		}

		this.#isChanging = true;
		try {
			changes();
		} finally {
			this.#isChanging = false;
			if (this.#hasChanged) {
				this.#notify();
			}
		}
	}

	/** Clears a feature of crashes, at this instance only. */
	clear(feature: string, incarnations: Iterable<string>): void {
		for (const incarnation of incarnations) {
			this.#ownClearances.add(clearanceOf(feature, incarnation));
		}

		this.#blocks = undefined;
	}

	/** Whether an instance has reported that a feature is cleared of a crash. */
	isReportedCleared(feature: string, incarnation: string): boolean {
		this.#reportedClearances ??= reportedClearances(this.#reports.values());
		return this.#reportedClearances.has(clearanceOf(feature, incarnation));
	}

	/** Removes expired reports, and the oldest ones beyond the bound; first those that block no request. */
	prune(wallMilliseconds: number): string[] {
		const removed: string[] = [];
		const remove = (keys: readonly string[]): void => {
			for (const key of keys) {
				this.remove(key);
				removed.push(key);
			}
		};

		this.change(() => {
			remove([...this.#reports].filter(([, {at}]) => wallMilliseconds - at > reportRetentionMilliseconds).map(([key]) => key));
			remove(this.#reports.size <= maxReports ? [] : this.#leastUseful().slice(0, this.#reports.size - maxReports));
			this.#pruneBlocks();
		});
		this.#pruneClearances();
		return removed;
	}

	/** Why a request is blocked; `undefined` if it is not. */
	blockOf({features, workspace}: FeaturedRequest, wallMilliseconds: number): Block | undefined {
		return this.#currentBlocks().find(({cause, until}) => until > wallMilliseconds && isBlockedBy(cause, features, workspace));
	}

	#notify(): void {
		this.#blocks = undefined;
		this.#reportedClearances = undefined;
		this.#hasChanged = this.#isChanging;
		if (this.#isChanging) {
			return;
		}

		for (const listener of this.#listeners) {
			listener();
		}
	}

	#currentBlocks(): readonly KnownBlock[] {
		this.#blocks ??= this.#compute();
		return this.#blocks;
	}

	#compute(): KnownBlock[] {
		const crashes = crashesIn(this.#reports.values(), (feature, incarnation) => this.#ownClearances.has(clearanceOf(feature, incarnation)) || this.isReportedCleared(feature, incarnation));
		this.#suspects = suspectsIn(crashes);
		return findCrashCauses(crashes).map(cause => this.#blockFor(cause));
	}

	#blockFor(cause: CrashCause): KnownBlock {
		const incarnations = new Set(cause.incarnations);
		const crashes = [...this.#reports.values()]
			.filter((report): report is CrashReport => report.kind === 'crash' && incarnations.has(report.incarnation) && hasFeatures(report, cause.features))
			.toSorted((left, right) => left.at - right.at);
		// Several instances may report one crash; the evidence holds as long as enough crashes have not expired.
		const crashedAt = new Map(crashes.map(({incarnation, at}) => [incarnation, at]));
		const decidingAt = [...crashedAt.values()].toSorted((left, right) => left - right).at(-crashesToBlock) ?? 0;
		const trials = [...this.#reports.values()].filter(report => report.kind === 'trial' && isSameSet(report.features, cause.features));
		const latestAt = Math.max(...[...crashes, ...trials].map(({at}) => at));
		return {
			cause,
			features: cause.features,
			crashes,
			until: decidingAt + reportRetentionMilliseconds,
			trials: trials.length,
			nextTrialAt: latestAt + (trialPauseMilliseconds * (trialPauseGrowth ** trials.length)),
		};
	}

	/** Drops the blocks of reports beyond the bound; callers may invent any number. */
	#pruneBlocks(): void {
		let known = 0;
		for (const report of this.#reports.values()) {
			known += blocksIn(report);
		}

		if (known <= maxKnownBlocks) {
			return;
		}

		for (const key of this.#leastUseful()) {
			const report = this.#reports.get(key);
			if (known > maxKnownBlocks && report?.kind === 'crash') {
				known -= blocksIn(report);
				this.#reports.set(key, {...report, prompts: []});
			}
		}

		this.#notify();
	}

	/** The keys of all reports, those first that are dropped first. */
	#leastUseful(): string[] {
		const useful = new Set(this.#currentBlocks().flatMap(({crashes}) => crashes));
		const rank = (report: Report): number => report.kind === 'trial' || (report.kind === 'crash' && useful.has(report)) ? 1 : 0;
		return [...this.#reports].toSorted(([, left], [, right]) => rank(left) - rank(right) || left.at - right.at).map(([key]) => key);
	}

	/** Drops own clearances of crashes that are not known any more. */
	#pruneClearances(): void {
		const incarnations = new Set([...this.#reports.values()].flatMap(report => report.kind === 'crash' ? [report.incarnation] : []));
		for (const clearance of this.#ownClearances) {
			if (!incarnations.has(clearance.slice(clearance.indexOf('|') + 1))) {
				this.#ownClearances.delete(clearance);
			}
		}
	}
}

function suspectsIn(crashes: readonly Crash[]): Map<string, SuspectedCrashes> {
	const suspects = new Map<string, Map<string, AnswerProgress>>();
	for (const {incarnation, requests} of crashes) {
		for (const {features, progress} of requests) {
			for (const feature of features) {
				const suspected = suspects.get(feature) ?? new Map<string, AnswerProgress>();
				suspects.set(feature, suspected);
				if (suspected.get(incarnation) !== 'begun') {
					suspected.set(incarnation, progress);
				}
			}
		}
	}

	return suspects;
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every(feature => right.includes(feature));
}

function hasFeatures({requests, prompts = []}: CrashReport, features: readonly string[]): boolean {
	return requests.some(([fingerprint]) => features.includes(fingerprint)) || prompts.some(({blocks}) => features.every(feature => blocks.includes(feature)));
}

function blocksIn(report: Report): number {
	return report.kind === 'crash' ? (report.prompts ?? []).reduce((count, {blocks}) => count + blocks.length, 0) : 0;
}
