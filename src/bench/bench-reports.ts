/** Load reports for benches and tests. */
import {type LoadReport} from '../ports/model-engine.js';

/** The report of an engine that does nothing. */
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
 * Gives the report of a busy engine.
 *
 * @param random - Gives numbers from 0 up to 1.
 * @returns A report with numbers that change from one to the next.
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
