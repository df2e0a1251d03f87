/** Runs daemons over TCP in several worker processes and measures the cost of control in each daemon. */
import {setTimeout as delay} from 'node:timers/promises';
import {applyChange} from '../../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../../protocol/configuration/configuration-state.js';
import {type ListedInstance} from '../../shared/types.js';
import {changeOf} from '../bench-changes.js';
import {type WorkerMeasure} from './worker-messages.js';
import {WorkerProcess} from './worker-process.js';

const daemonsPerWorker = 24;
const settleMilliseconds = 7000;
const lastChangeMilliseconds = 1500;
const dataCentre = 'split';

/** Sizes and rates of one run. */
export type PeerRunPlan = {
	daemons: number;
	serversPerDaemon: number;
	reportsPerSecond: number;
	changesPerSecond: number;
	measureMilliseconds: number;
};

/** The cost of a daemon, averaged over all daemons, and the time until changes were in force everywhere. */
export type PeerRunResult = {
	processorPercent: number;
	heldBytes: number;
	bytesInPerSecond: number;
	bytesOutPerSecond: number;
	messagesInPerSecond: number;
	messagesOutPerSecond: number;
	dropped: number;
	readers: number;
	ownedEndpoints: number;
	knownEndpoints: number;
	changes: number;
	changesEverywhere: number;
	slowestChangeMilliseconds: number;
};

/**
 * Runs one plan in worker processes of its own.
 *
 * @param plan - Sizes and rates.
 * @returns The measured costs.
 */
export async function runPeers(plan: PeerRunPlan): Promise<PeerRunResult> {
	const workers = Array.from({length: Math.ceil(plan.daemons / daemonsPerWorker)}, () => new WorkerProcess());
	try {
		await startDaemons(workers, plan);
		await delay(settleMilliseconds);
		await Promise.all(workers.map(async worker => worker.request({kind: 'reset'}, 'done')));
		const acceptedAt = await makeChanges(workers[0]!, plan);
		const measures = await Promise.all(workers.map(async worker => worker.request({kind: 'measure'}, 'measured')));
		return resultOf(measures.map(({measure}) => measure), acceptedAt, plan);
	} finally {
		await Promise.all(workers.map(async worker => worker.stop()));
	}
}

async function startDaemons(workers: readonly WorkerProcess[], plan: PeerRunPlan): Promise<void> {
	const answers = await Promise.all(workers.map(async (worker, index) => {
		const first = index * daemonsPerWorker;
		const names = Array.from({length: Math.min(daemonsPerWorker, plan.daemons - first)}, (_, offset) => `entry-${first + offset}`);
		return worker.request({
			kind: 'start', names, dataCentre, reportsPerSecond: plan.reportsPerSecond,
		}, 'started');
	}));
	const servers: ListedInstance[] = Array.from({length: plan.daemons * plan.serversPerDaemon}, (_, index) => ({
		name: `engine-${index}`, role: 'model-engine', dataCentre, service: 'permits', address: '', peerAddress: '', state: 'live',
	}));
	const instances = [...answers.flatMap(answer => answer.instances), ...servers];
	await Promise.all(workers.map(async worker => worker.request({kind: 'list', instances}, 'done')));
}

async function makeChanges(worker: WorkerProcess, plan: PeerRunPlan): Promise<Map<number, number>> {
	const acceptedAt = new Map<number, number>();
	let state: ConfigurationState = emptyConfiguration;
	const end = Date.now() + plan.measureMilliseconds;
	while (plan.changesPerSecond > 0 && Date.now() < end - lastChangeMilliseconds) {
		const change = changeOf(state, state.version);
		state = applyChange(state, change).unsafeCoerce();
		acceptedAt.set(change.version, Date.now());
		await worker.request({kind: 'change', change}, 'done');
		await delay(Math.min(1000 / plan.changesPerSecond, end - lastChangeMilliseconds - Date.now()));
	}

	await delay(Math.max(0, end - Date.now()));
	return acceptedAt;
}

function resultOf(measures: readonly WorkerMeasure[], acceptedAt: ReadonlyMap<number, number>, plan: PeerRunPlan): PeerRunResult {
	const sum = (value: (measure: WorkerMeasure) => number): number => measures.reduce((total, measure) => total + value(measure), 0);
	const perDaemonSecond = (value: (measure: WorkerMeasure) => number): number => sum(measure => value(measure) * 1000 / measure.wallMilliseconds) / plan.daemons;
	const times = [...acceptedAt].map(([version, at]) => {
		const inForce = measures.flatMap(measure => measure.inForceAt.filter(entry => entry.version === version));
		const daemons = inForce.reduce((total, entry) => total + entry.daemons, 0);
		return {isEverywhere: daemons === plan.daemons, milliseconds: Math.max(0, ...inForce.map(entry => entry.at - at))};
	});
	return {
		processorPercent: perDaemonSecond(measure => measure.processorMilliseconds) / 10,
		heldBytes: sum(measure => measure.heldBytes) / plan.daemons,
		bytesInPerSecond: perDaemonSecond(measure => measure.bytesIn),
		bytesOutPerSecond: perDaemonSecond(measure => measure.bytesOut),
		messagesInPerSecond: perDaemonSecond(measure => measure.messagesIn),
		messagesOutPerSecond: perDaemonSecond(measure => measure.messagesOut),
		dropped: sum(measure => measure.dropped),
		readers: sum(measure => measure.readers),
		ownedEndpoints: sum(measure => measure.ownedEndpoints) / plan.daemons,
		knownEndpoints: sum(measure => measure.knownEndpoints) / plan.daemons,
		changes: times.length,
		changesEverywhere: times.filter(({isEverywhere}) => isEverywhere).length,
		slowestChangeMilliseconds: Math.max(0, ...times.map(({milliseconds}) => milliseconds)),
	};
}
