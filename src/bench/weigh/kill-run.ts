/**
 * `npm run bench:weigh -- kill`: runs 48 daemons over TCP in three processes and kills one of the processes. The daemons
 * have the control part only, without a data path.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type ListedInstance} from '../../shared/types.js';
import {type WorkerMeasure} from '../slopes/worker-messages.js';
import {WorkerProcess} from '../slopes/worker-process.js';

const workers = 3;
const daemonsPerWorker = 16;
const endpoints = 96;
const settleMilliseconds = 7000;
const pollIntervalMilliseconds = 50;
const limitMilliseconds = 20_000;

/** The measurements; times are in milliseconds since the kill. */
export type KillResult = {
	ownedAgain: number | undefined;
	oneView: number | undefined;
	readers: number;
	/** At each change: endpoints that the survivors own, and the minimum and maximum number of live members in a view. */
	timeLine: Array<{at: number; owned: number; leastLive: number; mostLive: number}>;
};

/** Starts the daemons, kills a third of them and returns the measurements of the survivors. */
export async function runKill(): Promise<KillResult> {
	const processes = Array.from({length: workers}, () => new WorkerProcess());
	const [killed, ...survivors] = processes as [WorkerProcess, ...WorkerProcess[]];
	try {
		await start(processes);
		await delay(settleMilliseconds);
		const diedAt = Date.now();
		await killed.stop();
		return await watch(survivors, diedAt);
	} finally {
		await Promise.all(survivors.map(async worker => worker.stop()));
	}
}

async function start(processes: readonly WorkerProcess[]): Promise<void> {
	const answers = await Promise.all(processes.map(async (worker, index) => worker.request({
		kind: 'start', names: Array.from({length: daemonsPerWorker}, (_, number) => `entry-${index}-${number}`), dataCentre: 'split', reportsPerSecond: 1,
	}, 'started')));
	const servers: ListedInstance[] = Array.from({length: endpoints}, (_, index) => ({
		name: `engine-${index}`, role: 'model-engine', dataCentre: 'split', service: 'permits', address: '', peerAddress: '', state: 'live',
	}));
	const instances = [...answers.flatMap(answer => answer.instances), ...servers];
	await Promise.all(processes.map(async worker => worker.request({kind: 'list', instances}, 'done')));
}

async function watch(survivors: readonly WorkerProcess[], diedAt: number): Promise<KillResult> {
	const result: KillResult = {
		ownedAgain: undefined, oneView: undefined, readers: 0, timeLine: [],
	};
	const survivorCount = survivors.length * daemonsPerWorker;
	while (Date.now() - diedAt < limitMilliseconds && (result.ownedAgain === undefined || result.oneView === undefined)) {
		const measures = await Promise.all(survivors.map(async worker => worker.request({kind: 'measure'}, 'measured')));
		const at = Date.now() - diedAt;
		const seen = seenIn(measures.map(({measure}) => measure));
		const last = result.timeLine.at(-1);
		if (last?.owned !== seen.owned || last.leastLive !== seen.leastLive || last.mostLive !== seen.mostLive) {
			result.timeLine.push({at, ...seen});
		}

		result.ownedAgain ??= seen.owned === endpoints ? at : undefined;
		result.oneView ??= seen.leastLive === survivorCount && seen.mostLive === survivorCount ? at : undefined;
		result.readers = measures.reduce((sum, {measure}) => sum + measure.readers, 0);
		await delay(pollIntervalMilliseconds);
	}

	return result;
}

function seenIn(measures: readonly WorkerMeasure[]): {owned: number; leastLive: number; mostLive: number} {
	const live = measures.flatMap(measure => measure.live);
	return {
		owned: measures.reduce((sum, {ownedEndpoints}) => sum + ownedEndpoints, 0), leastLive: Math.min(...live), mostLive: Math.max(...live),
	};
}
