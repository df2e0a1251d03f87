/** Generates the requests of one run from a workload and a seed. */
import {blockTokens} from '../simulation/fake-engine.js';
import {type PriorityClass} from '../../shared/types.js';
import {Random} from './random.js';
import {type Workload, type WorkloadClass} from './workload-schema.js';

/** One request of a run. */
export type WorkloadRequest = {
	requestId: string;
	className: string;
	workspace: string;
	share: number;
	service: string;
	priority: PriorityClass;
	/** Milliseconds since the start of the run. */
	arrivesAt: number;
	deadline: number;
	promptTokens: number;
	outputTokens: number;
	pieceKeys: readonly string[];
	/** Whether its context was already used hours before the run. */
	isUsedBefore: boolean;
};

type Context = {workspace: string; share: number; popularity: number; tokens: number; pieceKeys: readonly string[]; isUsedBefore: boolean};

/**
 * Generates the requests of one run, in order of arrival.
 *
 * @param workload - The workload.
 * @param seed - Seed of every random choice: the same seed gives the same requests.
 * @param loadFactor - Factor by which the request rates of the workload are multiplied.
 */
export function generateRequests(workload: Workload, seed: number, loadFactor: number): WorkloadRequest[] {
	const contexts = new Map(workload.classes.map((kind, index) => [kind.name, contextsOf(workload, kind, seed + (7919 * index))]));
	const requests = workload.classes.flatMap((kind, index) => requestsOf({
		workload, kind, contexts: contexts.get(kind.contextsOf ?? kind.name)!, loadFactor,
	}, new Random((seed * 104_729) + index)));
	return requests
		.toSorted((left, right) => left.arrivesAt - right.arrivesAt)
		.map((request, index) => ({...request, requestId: `request-${index}`}));
}

function contextsOf(workload: Workload, kind: WorkloadClass, seed: number): Context[] {
	const random = new Random(seed);
	return workload.workspaces.flatMap(({name, weight, share}) => {
		const count = Math.max(1, Math.round(kind.contextsPerWeight * weight));
		return Array.from({length: count}, (_, index) => {
			const tokens = kind.contextsPerWeight === 0 ? 0 : Math.round(random.between(kind.contextTokens));
			const blockCount = Math.floor(tokens / blockTokens);
			return {
				workspace: name,
				share,
				popularity: weight / count / ((index + 1) ** kind.skew),
				tokens,
				isUsedBefore: random.fraction() < workload.usedBeforeShare,
				pieceKeys: Array.from({length: blockCount}, (_block, block) => `${kind.name}/${name}/${index}/${block}`),
			};
		});
	});
}

type ClassPlan = {workload: Workload; kind: WorkloadClass; contexts: readonly Context[]; loadFactor: number};

function requestsOf({workload, kind, contexts, loadFactor}: ClassPlan, random: Random): WorkloadRequest[] {
	const requests: WorkloadRequest[] = [];
	const meanInterval = 1000 / (kind.requestsPerSecond * loadFactor);
	const total = contexts.reduce((sum, {popularity}) => sum + popularity, 0);
	for (let at = random.exponential(meanInterval); at < workload.seconds * 1000; at += random.exponential(meanInterval)) {
		const {workspace, share, tokens, pieceKeys, isUsedBefore} = pick(contexts, random.fraction() * total);
		requests.push({
			requestId: '',
			className: kind.name,
			workspace,
			share,
			service: kind.service,
			priority: kind.priority,
			arrivesAt: at,
			deadline: at + kind.deadlineMilliseconds,
			promptTokens: tokens + Math.round(random.between(kind.questionTokens)),
			outputTokens: Math.round(random.between(kind.outputTokens)),
			pieceKeys,
			isUsedBefore,
		});
	}

	return requests;
}

function pick(contexts: readonly Context[], target: number): Context {
	let rest = target;
	for (const context of contexts) {
		rest -= context.popularity;
		if (rest < 0) {
			return context;
		}
	}

	return contexts.at(-1)!;
}
