/**
 * An index of the requests that were in flight at crashes, by their features, without those features that have been cleared.
 *
 * When many endpoints crash, hundreds of reports are known, and each further report and each answer changes what is suspected. The
 * index makes such a change cost what it concerns: causes have to be searched again only if a feature changes that enough
 * crashes have in common, and only among these features.
 */
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {crashesToBlock, type Crash, type RequestAtCrash} from '../../decision/crashes/find-crash-causes.js';
import {type CrashReport} from './crash-reports.js';

/** The crashes that a feature was present at and has not been cleared of: by incarnation, the state of the answer. */
export type SuspectedCrashes = ReadonlyMap<string, AnswerProgress>;

/** What is suspected at present. */
export type Suspects = {
	/** How many features are suspected. */
	readonly size: number;
	has: (feature: string) => boolean;
	get: (feature: string) => SuspectedCrashes | undefined;
};

/** A request of one report; `allFeatures` includes those that have been cleared. */
type IndexedRequest = Omit<RequestAtCrash, 'features'> & {report: CrashReport; allFeatures: ReadonlySet<string>};
type IndexedReport = {report: CrashReport; requests: readonly IndexedRequest[]};

export class SuspectIndex implements Suspects {
	readonly #isCleared: (feature: string, incarnation: string) => boolean;
	/** By incarnation and key. */
	readonly #reports = new Map<string, Map<string, IndexedReport>>();
	/** By feature and incarnation. */
	readonly #requests = new Map<string, Map<string, Set<IndexedRequest>>>();
	/** The features that enough crashes have in common to be blamed. */
	readonly #candidates = new Set<string>();
	#revision = 0;

	/** @param isCleared - Whether a feature has been cleared of the crash of an incarnation. */
	constructor(isCleared: (feature: string, incarnation: string) => boolean) {
		this.#isCleared = isCleared;
	}

	get size(): number {
		return this.#requests.size;
	}

	/** Changes whenever `candidateCrashes` may have changed. */
	get revision(): number {
		return this.#revision;
	}

	has(feature: string): boolean {
		return this.#requests.has(feature);
	}

	get(feature: string): SuspectedCrashes | undefined {
		const crashes = this.#requests.get(feature);
		return crashes && new Map(Array.from(crashes, ([incarnation, requests]) => [incarnation, progressOf(requests)]));
	}

	/** Whether a report of the crash of an incarnation is known. */
	hasCrash(incarnation: string): boolean {
		return this.#reports.has(incarnation);
	}

	/** Adds a report under a key that is not in use. */
	add(key: string, report: CrashReport): void {
		const {incarnation} = report;
		const reports = this.#reports.get(incarnation) ?? new Map<string, IndexedReport>();
		this.#reports.set(incarnation, reports);
		const indexed = {report, requests: requestsIn(report)};
		reports.set(key, indexed);
		this.#noteTimes();
		for (const request of indexed.requests) {
			for (const feature of request.allFeatures) {
				if (!this.#isCleared(feature, incarnation)) {
					this.#addFeature(feature, incarnation, request);
				}
			}
		}
	}

	/** Removes the report under a key. */
	remove(key: string, {incarnation}: CrashReport): void {
		const reports = this.#reports.get(incarnation);
		const {requests} = reports?.get(key) ?? {requests: []};
		reports?.delete(key);
		if (reports?.size === 0) {
			this.#reports.delete(incarnation);
		}

		this.#noteTimes();
		for (const request of requests) {
			for (const feature of request.allFeatures) {
				this.#removeFeature(feature, incarnation, request);
			}
		}
	}

	/** Records that a feature has been cleared of the crash of an incarnation. */
	clear(feature: string, incarnation: string): void {
		const crashes = this.#requests.get(feature);
		if (crashes?.delete(incarnation)) {
			this.#noteChange(feature, crashes, crashes.size + 1);
		}
	}

	/** Records that a feature is not cleared of the crash of an incarnation any more. */
	restore(feature: string, incarnation: string): void {
		for (const {requests} of this.#reports.get(incarnation)?.values() ?? []) {
			for (const request of requests) {
				if (request.allFeatures.has(feature)) {
					this.#addFeature(feature, incarnation, request);
				}
			}
		}
	}

	/** Lists the crashes, with those features of their requests that enough crashes have in common to be blamed. */
	candidateCrashes(): Crash[] {
		const byIncarnation = new Map<string, Map<IndexedRequest, Set<string>>>();
		for (const feature of this.#candidates) {
			for (const [incarnation, requests] of this.#requests.get(feature) ?? []) {
				const found = byIncarnation.get(incarnation) ?? new Map<IndexedRequest, Set<string>>();
				byIncarnation.set(incarnation, found);
				for (const request of requests) {
					found.set(request, (found.get(request) ?? new Set()).add(feature));
				}
			}
		}

		return Array.from(byIncarnation, ([incarnation, found]) => ({
			incarnation,
			at: Math.min(...Array.from(this.#reports.get(incarnation)?.values() ?? [], ({report}) => report.at)),
			requests: Array.from(found, ([{workspace, inFlightMilliseconds, progress}, features]) => ({
				features, workspace, inFlightMilliseconds, progress,
			})),
		}));
	}

	/** Lists the reports of crashes at which a request had all of the features, none of which has been cleared of them. */
	reportsWith([first = '', ...others]: readonly string[], incarnations: readonly string[]): CrashReport[] {
		const crashes = this.#requests.get(first);
		const found = new Set<CrashReport>();
		for (const incarnation of incarnations) {
			for (const {report, allFeatures} of crashes?.get(incarnation) ?? []) {
				if (others.every(feature => allFeatures.has(feature))) {
					found.add(report);
				}
			}
		}

		return [...found];
	}

	#addFeature(feature: string, incarnation: string, request: IndexedRequest): void {
		const crashes = this.#requests.get(feature) ?? new Map<string, Set<IndexedRequest>>();
		this.#requests.set(feature, crashes);
		const {size} = crashes;
		crashes.set(incarnation, (crashes.get(incarnation) ?? new Set()).add(request));
		this.#noteChange(feature, crashes, size);
	}

	#removeFeature(feature: string, incarnation: string, request: IndexedRequest): void {
		const crashes = this.#requests.get(feature);
		const requests = crashes?.get(incarnation);
		if (crashes === undefined || !requests?.delete(request)) {
			return;
		}

		const {size} = crashes;
		if (requests.size === 0) {
			crashes.delete(incarnation);
		}

		this.#noteChange(feature, crashes, size);
	}

	/** @param formerSize - How many crashes the feature was present at before the change. */
	#noteChange(feature: string, crashes: ReadonlyMap<string, unknown>, formerSize: number): void {
		if (crashes.size === 0) {
			this.#requests.delete(feature);
		}

		if (crashes.size >= crashesToBlock) {
			this.#candidates.add(feature);
		} else {
			this.#candidates.delete(feature);
		}

		if (Math.max(crashes.size, formerSize) >= crashesToBlock) {
			this.#revision++;
		}
	}

	/** A report may change the time of its crash. */
	#noteTimes(): void {
		if (this.#candidates.size > 0) {
			this.#revision++;
		}
	}
}

function requestsIn(report: CrashReport): IndexedRequest[] {
	const {requests, prompts = []} = report;
	const promptOf = new Map(prompts.map(prompt => [prompt.fingerprint, prompt]));
	return requests.map(([fingerprint, inFlightMilliseconds]) => {
		const prompt = promptOf.get(fingerprint);
		const progress = prompt?.isAnswering ? 'answering' : 'unanswered';
		return {
			report,
			allFeatures: new Set([fingerprint, ...prompt?.blocks ?? []]),
			workspace: prompt?.workspace ?? '',
			inFlightMilliseconds,
			progress: prompt?.hasBegun ? 'begun' : progress,
		};
	});
}

/** How far the answers had come at one crash; one that had begun counts most. */
function progressOf(requests: Iterable<IndexedRequest>): AnswerProgress {
	const found = Array.from(requests, ({progress}) => progress);
	return found.find(progress => progress === 'begun') ?? found.at(-1) ?? 'unanswered';
}
