/** Converts an endpoint's load report to the summary that is sent to peers, and back. */
import {type LoadReport} from '../../ports/model-engine.js';
import {type LoadSummary} from '../message/peer-message.js';
import {hashOfText} from '../ownership/rendezvous.js';

const significantDigits = 2;

/**
 * Creates the summary of a report.
 *
 * @param name - The endpoint's name.
 * @param report - The endpoint's load report.
 * @returns The summary, with token counts and rates rounded to two significant digits, which is enough for routing.
 */
export function summaryOf(name: string, report: LoadReport): LoadSummary {
	return {
		endpoint: hashOfText(name),
		state: report.state,
		model: report.model,
		weightVersion: report.weightVersion,
		running: report.runningRequests,
		waiting: report.waitingRequests,
		waitingPrefillTokens: rounded(report.waitingPrefillTokens),
		prefillRate: rounded(report.prefillTokensPerSecond),
		decodeRate: rounded(report.decodeTokensPerSecond),
		batchLimit: report.batchLimit,
		kvUsed: rounded(report.kvTokensUsed),
		kvCapacity: rounded(report.kvTokensCapacity),
	};
}

/**
 * Creates a report from a summary.
 *
 * @param summary - The summary as a peer sent it.
 * @param measuredAt - Time of measurement in milliseconds since the epoch, by this instance's clock.
 * @returns The report.
 */
export function reportOf(summary: LoadSummary, measuredAt: number): LoadReport {
	return {
		model: summary.model,
		weightVersion: summary.weightVersion,
		state: summary.state,
		runningRequests: summary.running,
		waitingRequests: summary.waiting,
		waitingPrefillTokens: summary.waitingPrefillTokens,
		prefillTokensPerSecond: summary.prefillRate,
		decodeTokensPerSecond: summary.decodeRate,
		batchLimit: summary.batchLimit,
		kvTokensUsed: summary.kvUsed,
		kvTokensCapacity: summary.kvCapacity,
		measuredAt,
	};
}

function rounded(value: number): number {
	return Math.round(Number(value.toPrecision(significantDigits)));
}
