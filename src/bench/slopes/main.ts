/**
 * `npm run bench:slopes`: measures the cost of control in a daemon at several sizes, and writes the data file and the plots
 * that docs/CAPACITY.md is based on. `--quick` measures fewer sizes for a shorter time and writes nothing.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {eventBytes} from './event-bytes.js';
import {runDataPath} from './data-path-run.js';
import {runListPolls, runLoadPolls, runTablePolls} from './poll-run.js';
import {type PeerRunPlan, runPeers} from './peer-run.js';
import {
	type SlopesData, slopesFile, slopesFolder, slopesOf, type SlopesRun,
} from './slopes-data.js';
import {svgPlot} from './svg-plot.js';
import {type StateSize} from './worker-messages.js';
import {WorkerProcess} from './worker-process.js';

const isQuick = process.argv.includes('--quick');
const conditions = process.argv.find(argument => argument.startsWith('--conditions='))?.slice('--conditions='.length) ?? 'not stated';
const measureMilliseconds = isQuick ? 4000 : 10_000;
const defaultPlan: PeerRunPlan = {
	daemons: 48, serversPerDaemon: 16, reportsPerSecond: 1, changesPerSecond: 0.3, measureMilliseconds,
};
const runs: SlopesRun[] = [];

function add(run: Omit<SlopesRun, 'id'>): void {
	const id = `${run.series}-${run.x}`;
	runs.push({id, ...run});
	console.log(`${id}: ${Object.entries(run.values).map(([name, value]) => `${name} ${Number(value.toPrecision(4))}`).join(', ')}`);
}

async function peerSeries(series: string, sizes: readonly number[], planOf: (x: number) => Partial<PeerRunPlan>): Promise<void> {
	for (const x of sizes) {
		const plan = {...defaultPlan, ...planOf(x)};
		add({
			series, x, plan, values: await runPeers(plan),
		});
	}
}

async function stateSeries(of: StateSize['of'], sizes: readonly number[]): Promise<void> {
	for (const count of sizes) {
		const worker = new WorkerProcess();
		const {heldBytes, processorMicroseconds} = await worker.request({kind: 'state', size: {of, count}}, 'state');
		await worker.stop();
		add({
			series: of, x: count, plan: {count}, values: {heldBytes, processorMicroseconds},
		});
	}
}

function writeFiles(data: SlopesData): void {
	mkdirSync(slopesFolder, {recursive: true});
	writeFileSync(slopesFile, `${JSON.stringify(data, undefined, '\t')}\n`);
	for (const [name, line] of Object.entries(data.slopes)) {
		const [series, value] = name.split('.') as [string, string];
		const points = data.runs.filter(run => run.series === series).map(run => ({x: run.x, y: run.values[value]!}));
		if (plotted.has(name)) {
			writeFileSync(`${slopesFolder}/${series}-${value}.svg`, svgPlot({
				title: `${value} by ${series}`, xLabel: series, yLabel: value, points, line,
			}));
		}
	}
}

const plotted = new Set([
	'daemons.processorPercent',
	'daemons.heldBytes',
	'daemons.bytesOutPerSecond',
	'daemons.bytesInPerSecond',
	'daemons.slowestChangeMilliseconds',
	'changes.bytesOutPerSecond',
	'changes.processorPercent',
	'owned.bytesOutPerSecond',
	'servers.heldBytes',
	'prompts.heldBytes',
	'workspaces.heldBytes',
	'list.bytes',
	'answer.processorMilliseconds',
]);

await stateSeries('servers', isQuick ? [50, 1500] : [50, 500, 1500, 4000, 12_000]);
await stateSeries('prompts', isQuick ? [1000, 90_000] : [1000, 10_000, 90_000, 300_000, 730_000]);
await stateSeries('workspaces', isQuick ? [10, 1800] : [10, 100, 600, 1800]);
for (const count of isQuick ? [50, 1600] : [50, 500, 1600, 4000, 12_760]) {
	add({
		series: 'list', x: count, plan: {count}, values: await runListPolls(count, 10),
	});
}

add({
	series: 'poll', x: 1, plan: {polls: 500}, values: await runLoadPolls(500),
});
add({
	series: 'table', x: 1, plan: {polls: 500}, values: await runTablePolls(500),
});
const answerTokens = isQuick ? [16, 128] : [16, 128, 333];
const answerCosts = await runDataPath(answerTokens);
for (const [index, cost] of answerCosts.entries()) {
	add({
		series: 'answer', x: answerTokens[index]!, plan: {tokens: answerTokens[index]!}, values: cost,
	});
}

add({
	series: 'event', x: 1, plan: {}, values: {bytes: eventBytes()},
});
await peerSeries('daemons', isQuick ? [4, 48] : [4, 16, 48, 96], daemons => ({daemons}));
await peerSeries('changes', isQuick ? [0, 2] : [0, 0.1, 1, 3, 10], changesPerSecond => ({changesPerSecond}));
await peerSeries('owned', isQuick ? [0, 16] : [0, 4, 8, 16, 32], serversPerDaemon => ({serversPerDaemon}));
if (!isQuick) {
	writeFiles({
		command: 'npm run bench:slopes', conditions, node: process.version, runs, slopes: slopesOf(runs),
	});
}
