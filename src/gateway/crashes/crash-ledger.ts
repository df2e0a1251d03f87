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
	findCrashCauses, crashesToBlock, isBlockedBy, type CrashCause,
} from '../../decision/crashes/find-crash-causes.js';
import {type CrashReport, type Report, type SurvivalReport} from './crash-reports.js';
import {SuspectIndex, type Suspects} from './suspect-index.js';

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

/** Receives the reports of crashes that were added. */
type ChangeListener = (added: readonly CrashReport[]) => void;

export class CrashLedger {
	readonly #listeners: ChangeListener[] = [];
	readonly #reports = new Map<string, Report>();
	/** What this instance has seen answered itself. */
	readonly #ownClearances = new Set<string>();
	/** How many reports contain each clearance. */
	readonly #reportedClearances = new Map<string, number>();
	readonly #suspects = new SuspectIndex((feature, incarnation) => this.#isCleared(feature, incarnation));
	/** `undefined` while they have to be computed again. */
	#blocks: readonly KnownBlock[] | undefined = [];
	/** The revision of the suspects that the blocks follow from. */
	#revision = 0;
	#added: CrashReport[] = [];
	#isChanging = false;
	#hasChanged = false;

	/** What is blocked. */
	get blocks(): readonly Block[] {
		return this.#currentBlocks();
	}

	/** The features that were present at crashes and have not been cleared since. */
	get suspects(): Suspects {
		return this.#suspects;
	}

	/** Calls the listener after reports were added or removed. */
	onChange(listener: ChangeListener): void {
		this.#listeners.push(listener);
	}

	/** All reports by key. */
	reports(): ReadonlyMap<string, Report> {
		return this.#reports;
	}

	/** Adds a report under the key of its row. */
	put(key: string, report: Report): void {
		this.#set(key, report);
		if (report.kind === 'crash') {
			this.#added.push(report);
		}

		this.#notify();
	}

	remove(key: string): void {
		if (this.#delete(key)) {
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
			this.#suspects.clear(feature, incarnation);
		}
	}

	/** Whether a report of the crash of an incarnation is known. */
	hasCrash(incarnation: string): boolean {
		return this.#suspects.hasCrash(incarnation);
	}

	/** Whether an instance has reported that a feature is cleared of a crash. */
	isReportedCleared(feature: string, incarnation: string): boolean {
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

	#set(key: string, report: Report): void {
		this.#delete(key);
		this.#reports.set(key, report);
		switch (report.kind) {
			case 'crash': {
				this.#suspects.add(key, report);
				break;
			}

			case 'survival': {
				this.#addClearances(report);
				break;
			}

			case 'trial': {
				this.#blocks = undefined;
				break;
			}
		}
	}

	#delete(key: string): boolean {
		const report = this.#reports.get(key);
		this.#reports.delete(key);
		switch (report?.kind) {
			case 'crash': {
				this.#suspects.remove(key, report);
				break;
			}

			case 'survival': {
				this.#removeClearances(report);
				break;
			}

			case 'trial': {
				this.#blocks = undefined;
				break;
			}

			case undefined: {
				return false;
			}
		}

		return true;
	}

	#addClearances(report: SurvivalReport): void {
		for (const [feature, incarnation] of clearedPairs(report)) {
			const clearance = clearanceOf(feature, incarnation);
			this.#reportedClearances.set(clearance, (this.#reportedClearances.get(clearance) ?? 0) + 1);
			this.#suspects.clear(feature, incarnation);
		}
	}

	#removeClearances(report: SurvivalReport): void {
		for (const [feature, incarnation] of clearedPairs(report)) {
			const clearance = clearanceOf(feature, incarnation);
			const others = (this.#reportedClearances.get(clearance) ?? 0) - 1;
			if (others > 0) {
				this.#reportedClearances.set(clearance, others);
			} else {
				this.#reportedClearances.delete(clearance);
			}

			if (!this.#isCleared(feature, incarnation)) {
				this.#suspects.restore(feature, incarnation);
			}
		}
	}

	#isCleared(feature: string, incarnation: string): boolean {
		return this.#ownClearances.has(clearanceOf(feature, incarnation)) || this.isReportedCleared(feature, incarnation);
	}

	#notify(): void {
		this.#hasChanged = this.#isChanging;
		if (this.#isChanging) {
			return;
		}

		const added = this.#added;
		this.#added = [];
		for (const listener of this.#listeners) {
			listener(added);
		}
	}

	#currentBlocks(): readonly KnownBlock[] {
		const {revision} = this.#suspects;
		if (this.#blocks === undefined || this.#revision !== revision) {
			this.#blocks = findCrashCauses(this.#suspects.candidateCrashes()).map(cause => this.#blockFor(cause));
			this.#revision = revision;
		}

		return this.#blocks;
	}

	#blockFor(cause: CrashCause): KnownBlock {
		const crashes = this.#suspects.reportsWith(cause.features, cause.incarnations).toSorted((left, right) => left.at - right.at);
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
				this.#set(key, {...report, prompts: []});
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
		for (const clearance of this.#ownClearances) {
			if (!this.#suspects.hasCrash(clearance.slice(clearance.indexOf('|') + 1))) {
				this.#ownClearances.delete(clearance);
			}
		}
	}
}

/** The clearance of a feature for one crash, as a text. */
function clearanceOf(feature: string, incarnation: string): string {
	return `${feature}|${incarnation}`;
}

function clearedPairs({requests}: SurvivalReport): Array<[feature: string, incarnation: string]> {
	return requests.flatMap(([feature, incarnations]) => incarnations.map((incarnation): [string, string] => [feature, incarnation]));
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every(feature => right.includes(feature));
}

function blocksIn(report: Report): number {
	return report.kind === 'crash' ? (report.prompts ?? []).reduce((count, {blocks}) => count + blocks.length, 0) : 0;
}
