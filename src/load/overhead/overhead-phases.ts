/** The loads of the overhead benchmark: latency at a fixed rate and throughput without pauses, with the process usage. */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadClient, type StreamResult} from './load-client.js';
import {processorSecondsOf, residentMegabytesOf} from './process-usage.js';

/** Times to first token on one path (direct or through the entry), in milliseconds. */
export type LatencyFigures = {
	requests: number;
	notWhole: number;
	medianMilliseconds: number;
	p99Milliseconds: number;
};

/** Throughput of one path when its callers never pause. */
export type ThroughputFigures = {
	requestsPerSecond: number;
	tokensPerSecond: number;
	notWhole: number;
};

/** Processor and memory usage of the entry during a load. */
export type EntryUsage = {
	cores: number;
	residentMegabytes: number;
};

/** Returns the quantile of sorted values at a share from 0 to 1; 0 if there are no values. */
function quantileOfSorted(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function latencyOf(results: readonly StreamResult[]): LatencyFigures {
	const sorted = results
		.filter(({isWhole}) => isWhole)
		.map(({timeToFirstTokenMilliseconds}) => timeToFirstTokenMilliseconds)
		.toSorted((left, right) => left - right);
	return {
		requests: results.length,
		notWhole: results.length - sorted.length,
		medianMilliseconds: quantileOfSorted(sorted, 0.5),
		p99Milliseconds: quantileOfSorted(sorted, 0.99),
	};
}

/**
 * Sends requests at a fixed rate on both paths at the same time, without waiting for answers (open loop).
 *
 * @param clients - The clients of the two paths.
 * @param plan - Requests a second on each path, duration in seconds, and tokens in each answer.
 * @returns The figures of each path, in the order of the clients.
 */
export async function measureLatency(clients: readonly LoadClient[], plan: {perSecond: number; seconds: number; tokens: number}): Promise<LatencyFigures[]> {
	const running = clients.map((): Array<Promise<StreamResult>> => []);
	const startedAt = performance.now();
	const total = plan.perSecond * plan.seconds;
	for (let number = 0; number < total; number++) {
		const dueIn = startedAt + (1000 * number / plan.perSecond) - performance.now();
		if (dueIn > 0) {
			await delay(dueIn);
		}

		// The paths alternate in sending first, so that neither always waits for the work of the other.
		const order = number % 2 === 0 ? [0, 1] : [1, 0];
		for (const index of order) {
			running[index]!.push(clients[index]!.stream(plan.tokens));
		}
	}

	const results = await Promise.all(running.map(async promises => Promise.all(promises)));
	return results.map(result => latencyOf(result));
}

/**
 * Lets several callers send prompts one after the other, without pauses (closed loop).
 *
 * @param client - The client of the path.
 * @param plan - Number of callers, duration in seconds, and tokens in each answer.
 * @returns The throughput over all callers.
 */
export async function measureThroughput(client: LoadClient, plan: {callers: number; seconds: number; tokens: number}): Promise<ThroughputFigures> {
	const startedAt = performance.now();
	const until = startedAt + (plan.seconds * 1000);
	const results: StreamResult[] = [];
	await Promise.all(Array.from({length: plan.callers}, async () => {
		while (performance.now() < until) {
			results.push(await client.stream(plan.tokens));
		}
	}));
	const seconds = (performance.now() - startedAt) / 1000;
	let tokens = 0;
	for (const result of results) {
		tokens += result.tokens;
	}

	return {
		requestsPerSecond: results.length / seconds,
		tokensPerSecond: tokens / seconds,
		notWhole: results.filter(({isWhole}) => !isWhole).length,
	};
}

/**
 * Runs a load and measures the usage of a process during it.
 *
 * @param pid - The process id.
 * @param load - Generates the load; resolves when it has ended.
 * @returns The result of the load, and the usage.
 */
export async function withUsage<Value>(pid: number, load: () => Promise<Value>): Promise<{value: Value; usage: EntryUsage}> {
	const [usedBefore, startedAt] = [processorSecondsOf(pid), performance.now()];
	const value = await load();
	const seconds = (performance.now() - startedAt) / 1000;
	return {value, usage: {cores: (processorSecondsOf(pid) - usedBefore) / seconds, residentMegabytes: residentMegabytesOf(pid)}};
}
