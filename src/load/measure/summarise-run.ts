/** Computes the measures of one run from its outcomes. Requests that arrive during the warm-up are left out. */
import {type Outcome} from '../simulation/outcome.js';
import {type SimulationResult} from '../simulation/run-simulation.js';
import {type Workload} from '../workload/workload-schema.js';
import {fairShares} from './fair-shares.js';
import {quantileOf} from './statistics.js';
import {unavoidableRecompute} from './unavoidable-recompute.js';

/** The measures of one run, by name. Times are in milliseconds. */
export type RunSummary = Record<string, number>;

/** Returns the measures of a run, by the names that tables and reports print. */
export function summariseRun(workload: Workload, result: SimulationResult): RunSummary {
	const start = workload.warmUpSeconds * 1000;
	const end = workload.seconds * 1000;
	const counted = result.outcomes.filter(({request}) => request.arrivesAt >= start);
	return {
		...firstTokens(workload, counted),
		'share recomputed': recomputedShare(counted),
		'share unavoidable': unavoidableShare(workload, result.outcomes, start),
		'link gigabytes': result.linkBytes / 1e9,
		'goodput tokens/s': goodput(result.outcomes, start, end),
		'least fair share': minFairShare(counted, end),
		...refusals(counted),
		unanswered: counted.filter(({endedAt, refusal}) => endedAt === undefined && refusal === undefined).length,
	};
}

function firstTokens(workload: Workload, counted: readonly Outcome[]): RunSummary {
	const groups = [
		{name: 'urgent', members: counted.filter(({request}) => request.priority === 'urgent')},
		...workload.classes.map(({name}) => ({name, members: counted.filter(({request}) => request.className === name)})),
	];
	return Object.fromEntries(groups.flatMap(({name, members}) => {
		const times = members.flatMap(({firstTokenMilliseconds}) => firstTokenMilliseconds ?? []);
		return [['median', 0.5], ['p95', 0.95], ['p99', 0.99]].map(([label, share]) => [`${name} ${label}`, quantileOf(times, Number(share))]);
	}));
}

function recomputedShare(counted: readonly Outcome[]): number {
	const served = counted.filter(({firstTokenMilliseconds}) => firstTokenMilliseconds !== undefined);
	return sumOf(served, ({recomputedTokens}) => recomputedTokens) / sumOf(served, ({request}) => request.promptTokens);
}

function unavoidableShare(workload: Workload, outcomes: readonly Outcome[], start: number): number {
	const {services, stores} = workload;
	const capacityBlocks = services.reduce((sum, {engines, engine}) => sum + (engines * engine.cachePieces), 0) + (stores.count * (stores.memoryPieces + stores.diskPieces));
	const least = unavoidableRecompute(outcomes.map(({request}) => request), capacityBlocks);
	const served = outcomes
		.map(({request, firstTokenMilliseconds}, index) => ({request, firstTokenMilliseconds, least: least[index]!}))
		.filter(({request, firstTokenMilliseconds}) => request.arrivesAt >= start && firstTokenMilliseconds !== undefined);
	return sumOf(served, ({least: tokens}) => tokens) / sumOf(served, ({request}) => request.promptTokens);
}

/** Prompt and answer tokens a second, of answers that ended in the window and whose first token met the deadline. */
function goodput(outcomes: readonly Outcome[], start: number, end: number): number {
	const good = outcomes.filter(({request, endedAt, firstTokenMilliseconds}) =>
		endedAt !== undefined && endedAt >= start && endedAt < end && request.arrivesAt + firstTokenMilliseconds! <= request.deadline);
	return sumOf(good, workOf) * 1000 / (end - start);
}

function minFairShare(counted: readonly Outcome[], end: number): number {
	const workspaces = new Map<string, {workspace: string; tokens: number; share: number; served: number}>();
	for (const outcome of counted) {
		const {workspace, share} = outcome.request;
		const known = workspaces.get(workspace) ?? {
			workspace, tokens: 0, share, served: 0,
		};
		const work = workOf(outcome);
		known.tokens += work;
		known.served += outcome.endedAt !== undefined && outcome.endedAt < end ? work : 0;
		workspaces.set(workspace, known);
	}

	const all = [...workspaces.values()];
	const fair = fairShares(all, sumOf(all, ({served}) => served));
	return Math.min(...all.map(({workspace, served}) => served / fair.get(workspace)!));
}

function refusals(counted: readonly Outcome[]): RunSummary {
	const summary: RunSummary = {};
	for (const {refusal, ran} of counted) {
		if (refusal !== undefined) {
			const name = `refused ${refusal} ${ran ?? ''}`;
			summary[name] = (summary[name] ?? 0) + 1;
		}
	}

	return summary;
}

function workOf({request}: Outcome): number {
	return request.promptTokens + request.outputTokens;
}

function sumOf<Item>(items: readonly Item[], value: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + value(item), 0);
}
