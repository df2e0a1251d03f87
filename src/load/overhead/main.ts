/**
 * `npm run bench:overhead`: measures the overhead of one entry: the time to first token that it adds, the requests and
 * tokens a second that it serves per core, and its memory. The same load goes directly to stand-in engines that answer
 * without delay and through the entry, within one run. This process generates the load; the entry and the engines are
 * separate processes.
 */
import {Command} from 'commander';
import {demoDeclarationPath, permitsModelService} from '../../demo/demo-declaration.js';
import {Deployment} from '../../demo/deployment.js';
import {LoadClient} from './load-client.js';
import {
	type EntryUsage, type LatencyFigures, measureLatency, measureThroughput, type ThroughputFigures, withUsage,
} from './overhead-phases.js';

const instantEngineArguments = ['--prefill-tokens-per-second', '1000000000', '--batch-limit', '1000'];
const latencyPlan = {perSecond: 200, seconds: 10, tokens: 16};
const shortPlan = {callers: 64, seconds: 5, tokens: 8};
const streamPlan = {callers: 160, seconds: 6, tokens: 500};
const warmUp = {callers: 32, seconds: 2, tokens: 16};

/** All figures of the benchmark; `--json` prints them under these names. */
type OverheadReport = {
	latency: {direct: LatencyFigures; entry: LatencyFigures; addedMedianMilliseconds: number; addedP99Milliseconds: number; usage: EntryUsage};
	shortRequests: {direct: ThroughputFigures; entry: ThroughputFigures; usage: EntryUsage};
	streamedTokens: {direct: ThroughputFigures; entry: ThroughputFigures; usage: EntryUsage};
};

type Measurement<Value> = (parts: {direct: LoadClient; entry: LoadClient; entryPid: number}) => Promise<Value>;

async function withDeployment<Value>(millisecondsPerToken: number, load: Measurement<Value>): Promise<Value> {
	const deployment = new Deployment({
		dataCentres: ['split-riva'],
		entriesPerDataCentre: 1,
		enginesPerDataCentre: 3,
		modelServices: [permitsModelService],
		plainService: 'bookings',
		engineArguments: [...instantEngineArguments, '--milliseconds-per-token', String(millisecondsPerToken)],
	});
	try {
		await deployment.start();
		await deployment.apply(demoDeclarationPath, 'for the measurement', () => {
			// The applied edits are not printed.
		});
		const [entryProcess] = deployment.withRole('entry');
		const engines = deployment.withRole('model-engine').map(({listed}) => listed.address);
		const direct = new LoadClient({name: 'direct', addresses: engines, headers: {}});
		const entry = new LoadClient({name: 'entry', addresses: [entryProcess!.listed.address], headers: {authorization: 'Bearer quay-demo-key'}});
		await measureThroughput(direct, warmUp);
		await measureThroughput(entry, warmUp);
		return await load({direct, entry, entryPid: entryProcess!.process.child.pid!});
	} finally {
		await deployment.stop();
	}
}

async function measure(): Promise<OverheadReport> {
	const instantFigures = await withDeployment(0, async ({direct, entry, entryPid}) => {
		const {value: [directLatency, entryLatency], usage} = await withUsage(entryPid, async () => measureLatency([direct, entry], latencyPlan));
		const shortDirect = await measureThroughput(direct, shortPlan);
		const shortEntry = await withUsage(entryPid, async () => measureThroughput(entry, shortPlan));
		return {
			latency: {
				direct: directLatency!,
				entry: entryLatency!,
				addedMedianMilliseconds: entryLatency!.medianMilliseconds - directLatency!.medianMilliseconds,
				addedP99Milliseconds: entryLatency!.p99Milliseconds - directLatency!.p99Milliseconds,
				usage,
			},
			shortRequests: {direct: shortDirect, entry: shortEntry.value, usage: shortEntry.usage},
		};
	});
	// One token per millisecond on each stream, so that tokens arrive one by one as from a real engine.
	const streamedTokens = await withDeployment(1, async ({direct, entry, entryPid}) => {
		const directFigures = await measureThroughput(direct, streamPlan);
		const {value, usage} = await withUsage(entryPid, async () => measureThroughput(entry, streamPlan));
		return {direct: directFigures, entry: value, usage};
	});
	return {...instantFigures, streamedTokens};
}

function printReport({latency, shortRequests, streamedTokens}: OverheadReport): void {
	const row = (name: string, ...cells: number[]): void => {
		console.log([name.padEnd(36), ...cells.map(cell => cell.toFixed(2).padStart(12))].join(''));
	};

	console.log([''.padEnd(36), 'direct'.padStart(12), 'entry'.padStart(12), 'added'.padStart(12)].join(''));
	row('first token, median, ms at 200/s', latency.direct.medianMilliseconds, latency.entry.medianMilliseconds, latency.addedMedianMilliseconds);
	row('first token, p99, ms at 200/s', latency.direct.p99Milliseconds, latency.entry.p99Milliseconds, latency.addedP99Milliseconds);
	row('answers not whole', latency.direct.notWhole, latency.entry.notWhole);
	console.log([''.padEnd(36), 'direct'.padStart(12), 'entry'.padStart(12), 'cores'.padStart(12), 'per core'.padStart(12), 'resident MB'.padStart(12)].join(''));
	for (const [name, figures, unit] of [['short requests/s', shortRequests, 'requestsPerSecond'], ['streamed tokens/s', streamedTokens, 'tokensPerSecond']] as const) {
		const {direct, entry, usage} = figures;
		row(name, direct[unit], entry[unit], usage.cores, entry[unit] / usage.cores, usage.residentMegabytes);
		row('answers not whole', direct.notWhole, entry.notWhole);
	}
}

const command = new Command('overhead').option('--json', 'print one JSON object');
const options: {json?: boolean} = command.parse().opts();
const report = await measure();
if (options.json) {
	console.log(JSON.stringify(report));
} else {
	printReport(report);
}
