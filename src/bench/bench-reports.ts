/** Load reports for benchmarks and tests. */
import {type LoadReport} from '../ports/model-engine.js';

/** The report of an idle engine. */
export const idleReport: LoadReport = {
	model: 'permit-model',
	weightVersion: '2026-11',
	state: 'live',
	runningRequests: 0,
	waitingRequests: 0,
	waitingPrefillTokens: 0,
	prefillTokensPerSecond: 9000,
	decodeTokensPerSecond: 900,
	batchLimit: 32,
	kvTokensUsed: 0,
	kvTokensCapacity: 400_000,
	measuredAt: 0,
};

/**
 * Creates the report of a busy engine.
 *
 * @param random - Returns numbers from 0 to 1, 1 excluded.
 * @returns A report with random load figures.
 */
export function busyReport(random: () => number): LoadReport {
	return {
		...idleReport,
		runningRequests: Math.floor(random() * 32),
		waitingRequests: Math.floor(random() * 10),
		waitingPrefillTokens: Math.floor(random() * 60_000),
		kvTokensUsed: Math.floor(random() * 400_000),
	};
}
