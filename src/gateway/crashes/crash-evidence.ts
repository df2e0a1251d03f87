/** Combines the reports of all instances into one list of crashes, without what has been cleared since. */
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {type Crash, type RequestAtCrash} from '../../decision/crashes/find-crash-causes.js';
import {type CrashReport, type PromptAtCrash, type Report} from './crash-reports.js';

/** The clearance of a feature for one crash, as a text. */
export function clearanceOf(feature: string, incarnation: string): string {
	return `${feature}|${incarnation}`;
}

/** The clearances that instances have reported. */
export function reportedClearances(reports: Iterable<Report>): Set<string> {
	const cleared = new Set<string>();
	for (const report of reports) {
		if (report.kind === 'survival') {
			for (const [feature, incarnations] of report.requests) {
				for (const incarnation of incarnations) {
					cleared.add(clearanceOf(feature, incarnation));
				}
			}
		}
	}

	return cleared;
}

/**
 * Lists the crashes, one for each incarnation.
 *
 * @param reports - What all instances have reported.
 * @param isCleared - Whether a feature has been cleared for the crash of an incarnation.
 */
export function crashesIn(reports: Iterable<Report>, isCleared: (feature: string, incarnation: string) => boolean): Crash[] {
	const crashes = new Map<string, Crash & {requests: RequestAtCrash[]}>();
	for (const report of reports) {
		if (report.kind === 'crash') {
			const {incarnation, at} = report;
			const known = crashes.get(incarnation);
			const requests = [...known?.requests ?? [], ...requestsIn(report, isCleared)];
			crashes.set(incarnation, {incarnation, at: Math.min(at, known?.at ?? at), requests});
		}
	}

	return [...crashes.values()];
}

function requestsIn({incarnation, requests, prompts = []}: CrashReport, isCleared: (feature: string, incarnation: string) => boolean): RequestAtCrash[] {
	const promptOf = new Map(prompts.map(prompt => [prompt.fingerprint, prompt]));
	const found: RequestAtCrash[] = [];
	for (const [fingerprint, inFlightMilliseconds] of requests) {
		const prompt = promptOf.get(fingerprint);
		const features = new Set([fingerprint, ...prompt?.blocks ?? []].filter(feature => !isCleared(feature, incarnation)));
		if (features.size > 0) {
			found.push({
				features, workspace: prompt?.workspace ?? '', inFlightMilliseconds, progress: progressOf(prompt),
			});
		}
	}

	return found;
}

function progressOf(prompt: PromptAtCrash | undefined): AnswerProgress {
	if (prompt?.hasBegun) {
		return 'begun';
	}

	return prompt?.isAnswering ? 'answering' : 'unanswered';
}
