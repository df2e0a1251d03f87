/** The three loads of the overhead measurement. */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadClient, type StreamResult} from './load-client.js';
import {processorSecondsOf, residentMegabytesOf} from './process-usage.js';

/** Times to first token of one way, in milliseconds. */
export type LatencyFigures = {
	requests: number;
	notWhole: number;
	medianMilliseconds: number;
	p99Milliseconds: number;
};

/** What a way carries when its callers never pause. */
export type ThroughputFigures = {
	requestsPerSecond: number;
	tokensPerSecond: number;
	notWhole: number;
};

/** What the entry used meanwhile. */
export type EntryUsage = {
	cores: number;
	residentMegabytes: number;
};

/** Gives the value at a share, from 0 to 1, of sorted values. */
function valueAt(sorted: readonly number[], share: number): number {
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
		medianMilliseconds: valueAt(sorted, 0.5),
		p99Milliseconds: valueAt(sorted, 0.99),
	};
}

/**
 * Sends at a fixed rate on both ways side by side, whether answers come or not.
 *
 * @param clients - The ways.
 * @param plan - Requests a second on each way, for how many seconds, with how many tokens in each answer.
 * @returns The figures of each way, in the order given.
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

		// The ways take turns in going first, so that neither meets the other's work every time.
		const order = number % 2 === 0 ? [0, 1] : [1, 0];
		for (const index of order) {
			running[index]!.push(clients[index]!.stream(plan.tokens));
		}
	}

	const results = await Promise.all(running.map(async promises => Promise.all(promises)));
	return results.map(result => latencyOf(result));
}

/**
 * Lets many callers send one prompt after the other for some seconds.
 *
 * @param client - The way.
 * @param plan - How many callers, for how many seconds, with how many tokens in each answer.
 * @returns What was carried.
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
 * Runs a load and reads what a process used during it.
 *
 * @param pid - The process.
 * @param load - The load.
 * @returns What the load gave, and the use.
 */
export async function withUsage<Value>(pid: number, load: () => Promise<Value>): Promise<{value: Value; usage: EntryUsage}> {
	const [usedBefore, startedAt] = [processorSecondsOf(pid), performance.now()];
	const value = await load();
	const seconds = (performance.now() - startedAt) / 1000;
	return {value, usage: {cores: (processorSecondsOf(pid) - usedBefore) / seconds, residentMegabytes: residentMegabytesOf(pid)}};
}
