/** Turns an endpoint's load report into the summary that peers get, and back. */
import {type LoadReport} from '../../ports/model-engine.js';
import {type LoadSummary} from '../message/peer-message.js';
import {hashOfText} from '../sharing/rendezvous.js';

const keptDigits = 2;

/**
 * Makes a summary.
 *
 * @param name - The endpoint's name.
 * @param report - Its report.
 * @returns The summary, with large numbers rounded to two digits: a routing choice needs no more.
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
 * Makes a report of a summary.
 *
 * @param summary - As it came from a peer.
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
	return Math.round(Number(value.toPrecision(keptDigits)));
}
