/** What the reports of crashes have in common, by which the coordinator decides which of them are urgent. */
import {type JsonValue} from '../../shared/types.js';
import {decodeReport} from './crash-report-rows.js';
import {type CrashReport} from './crash-reports.js';

/**
 * - `crash`: the features of the requests that one incarnation of an endpoint had in flight when it ended.
 * - `survival`: features that have been answered.
 */
export type ReportEvidence = {
	kind: 'crash' | 'survival';
	/** The incarnation that ended; absent for a `survival`. */
	incarnation?: string;
	features: string[];
};

/** Returns what a report says of the features of requests; `undefined` for one that is always urgent, or is not known here. */
export function evidenceOf(content: JsonValue): ReportEvidence | undefined {
	const report = decodeReport(content);
	switch (report?.kind) {
		case 'crash': {
			return {kind: 'crash', incarnation: report.incarnation, features: featuresOf(report)};
		}

		case 'survival': {
			return {kind: 'survival', features: report.requests.map(([feature]) => feature)};
		}

		case 'trial':
		case undefined: {
			return undefined;
		}
	}
}

/** The features of the requests that an endpoint had in flight when it ended. */
export function featuresOf({requests, prompts = []}: CrashReport): string[] {
	return [...requests.map(([fingerprint]) => fingerprint), ...prompts.flatMap(({blocks}) => blocks)];
}
