/** What the reports of crashes have in common, by which the coordinator decides which of them are urgent. */
import {type JsonValue} from '../../shared/types.js';
import {decodeReport} from './crash-report-rows.js';

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
			const blocks = (report.prompts ?? []).flatMap(prompt => prompt.blocks);
			return {kind: 'crash', incarnation: report.incarnation, features: [...report.requests.map(([fingerprint]) => fingerprint), ...blocks]};
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
