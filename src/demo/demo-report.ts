/** The figures that the demo prints at its end. */
import {type BookingResult} from './demo-client.js';
import {type SentPrompt} from './demo-traffic.js';

export type DemoReport = {
	processes: number;
	requests: number;
	wholeAnswers: number;
	refusedNotRun: number;
	unknown: number;
	bookingsAsked: number;
	bookingsRun: number;
	duplicateRuns: number;
	timeToFirstTokenMedianMilliseconds: number;
	timeToFirstTokenP95Milliseconds: number;
	shareRecomputed: number;
	configurationVersion: number;
	timelineEvents: number;
};

/**
 * Returns a quantile.
 *
 * @param values - The values, in any order.
 * @param share - The quantile, from 0 to 1.
 * @returns The value at that quantile; 0 if there are no values.
 */
export function quantileOf(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** The observations that the figures are computed from. */
export type DemoObservations = {
	processes: number;
	prompts: readonly SentPrompt[];
	bookings: readonly BookingResult[];
	bookingsAsked: number;
	bookingsRun: number;
	duplicateRuns: number;
	configurationVersion: number;
	timelineEvents: number;
};

/** Computes the figures. */
export function createDemoReport(observed: DemoObservations): DemoReport {
	const {prompts, bookings, ...counts} = observed;
	const firstTokens = prompts
		.map(({result}) => result.timeToFirstTokenMilliseconds)
		.filter(value => value !== undefined);
	const promptTokens = sum(prompts.map(({result}) => result.promptTokens));
	const cachedTokens = sum(prompts.map(({result}) => result.cachedTokens));
	const executionStates = [...prompts.map(({result}) => result.ran), ...bookings.map(({ran}) => ran)];
	return {
		...counts,
		requests: prompts.length,
		wholeAnswers: prompts.filter(({isWhole}) => isWhole).length,
		refusedNotRun: executionStates.filter(state => state === 'not-run').length,
		unknown: executionStates.filter(state => state === 'unknown').length,
		timeToFirstTokenMedianMilliseconds: round(quantileOf(firstTokens, 0.5)),
		timeToFirstTokenP95Milliseconds: round(quantileOf(firstTokens, 0.95)),
		shareRecomputed: round(1 - (cachedTokens / Math.max(1, promptTokens))),
	};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
