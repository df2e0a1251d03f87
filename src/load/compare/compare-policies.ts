/** Runs a workload with every policy and seed and collects the measures. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {intervalOf, type Interval} from '../measure/statistics.js';
import {summariseRun, type RunSummary} from '../measure/summarise-run.js';
import {runSimulation} from '../simulation/run-simulation.js';
import {type Workload} from '../workload/workload-schema.js';

/** The workload, and the policies and seeds that it is run with. */
export type Comparison = {
	workload: Workload;
	policies: readonly string[];
	seeds: readonly number[];
	loadFactor: number;
};

/** The measures of one policy, averaged over its seeds. */
export type PolicyResult = {
	policy: string;
	seeds: number[];
	measures: Record<string, Interval>;
};

/** The result of a comparison; partial if it was stopped early. */
export type ComparisonResult = {
	workload: string;
	loadFactor: number;
	isPartial: boolean;
	results: PolicyResult[];
};

/** Progress of a comparison: number of finished runs, of all runs, and the last finished run. */
export type Progress = {done: number; of: number; policy: string; seed: number};

/**
 * Compares policies. Yields to the event loop after each run, so that a stop is noticed.
 *
 * @param comparison - Workload, policies and seeds.
 * @param onProgress - Called after every run.
 * @param signal - Stops the comparison after the current run; the result holds the finished runs.
 */
export async function comparePolicies(comparison: Comparison, onProgress: (progress: Progress) => void, signal: AbortSignal): Promise<ComparisonResult> {
	const {workload, policies, seeds, loadFactor} = comparison;
	const summaries = new Map(policies.map(policy => [policy, new Map<number, RunSummary>()]));
	const plans = seeds.flatMap(seed => policies.map(policy => ({policy, seed})));
	for (const [index, {policy, seed}] of plans.entries()) {
		if (signal.aborted) {
			break;
		}

		summaries.get(policy)!.set(seed, runWithBaseline(workload, {policy, seed, loadFactor}));
		onProgress({
			done: index + 1, of: plans.length, policy, seed,
		});
		await nextTurn();
	}

	return {
		workload: workload.name,
		loadFactor,
		isPartial: signal.aborted,
		results: [...summaries.entries()].map(([policy, bySeed]) => ({policy, seeds: [...bySeed.keys()], measures: measuresOf([...bySeed.values()])})),
	};
}

/** Runs the workload, and its urgent requests alone at load 1: their time to first token is the baseline of the loaded run. */
function runWithBaseline(workload: Workload, run: {policy: string; seed: number; loadFactor: number}): RunSummary {
	const summary = summariseRun(workload, runSimulation({workload, ...run}));
	const alone = summariseRun(workload, runSimulation({
		workload, ...run, loadFactor: 1, includes: request => request.priority === 'urgent',
	}));
	const unloaded = alone['urgent p95']!;
	return {
		...summary,
		'urgent p95 unloaded': unloaded,
		'urgent p95 / unloaded': summary['urgent p95']! / unloaded, 'recomputed / unavoidable': summary['share recomputed']! / summary['share unavoidable']!,
	};
}

function measuresOf(summaries: readonly RunSummary[]): Record<string, Interval> {
	const names = new Set(summaries.flatMap(summary => Object.keys(summary)));
	return Object.fromEntries([...names].map(name => [name, intervalOf(summaries.map(summary => summary[name] ?? 0))]));
}
