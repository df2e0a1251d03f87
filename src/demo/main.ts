/** The demo: starts a small deployment of processes, sends prompts and bookings through it, and prints the figures. */
import {once} from 'node:events';
import process from 'node:process';
import {Command} from 'commander';
import {changedDemoDeclarationPath, demoDeclarationPath, permitsModelService} from './demo-declaration.js';
import {demoOperatorKey, Deployment} from './deployment.js';
import {type DemoReport, createDemoReport} from './demo-report.js';
import {
	demoCallers, promptsOfRound, sendAll, sendBookings, type SentPrompt,
} from './demo-traffic.js';

const rounds = 6;
const bookingNames = Array.from({length: 8}, (_, index) => `pitch-${index + 1}`);

const command = new Command('demo')
	.option('--json', 'print one JSON object as the last line')
	.option('--hold', 'keep the deployment running until SIGINT or SIGTERM');
const options: {json?: boolean; hold?: boolean} = command.parse().opts();
const print = (text: string): void => {
	if (!options.json && !options.hold) {
		console.log(text);
	}
};

const deployment = new Deployment({
	dataCentres: ['split-riva', 'split-luka'],
	entriesPerDataCentre: 3,
	enginesPerDataCentre: 3,
	modelServices: [
		permitsModelService,
		{service: 'lessons', model: 'lesson-1', weightVersion: 'w1'},
	],
	plainService: 'bookings',
});

async function apply(path: string, reason: string): Promise<number> {
	return deployment.apply(path, reason, print);
}

async function runTraffic(): Promise<DemoReport> {
	const entries = deployment.withRole('entry').map(({listed}) => listed.address);
	const prompts: SentPrompt[] = [];
	for (let round = 0; round < rounds / 2; round++) {
		prompts.push(...await sendAll(promptsOfRound(round, entries)));
	}

	const bookings = await sendBookings(bookingNames, entries);
	const configurationVersion = await apply(changedDemoDeclarationPath, 'parish questions become urgent');
	for (let round = rounds / 2; round < rounds; round++) {
		prompts.push(...await sendAll(promptsOfRound(round, entries)));
	}

	const counts = await Promise.all(deployment.withRole('plain-service').map(async ({listed}) => deployment.countsOf(listed.address)));
	const total = (name: string): number => counts.map(count => Number(count[name])).reduce((sum, value) => sum + value, 0);
	return createDemoReport({
		processes: deployment.group.size,
		prompts,
		bookings,
		bookingsAsked: bookingNames.length,
		bookingsRun: total('runs'),
		duplicateRuns: total('duplicateRuns'),
		configurationVersion,
		timelineEvents: deployment.timeline.lines.length,
	});
}

function printReport(report: DemoReport): void {
	print(`${report.processes} processes; configuration version ${report.configurationVersion} in force on every entry`);
	print(`prompts: ${report.requests} sent, ${report.wholeAnswers} answered completely`);
	print(`time to first token: median ${report.timeToFirstTokenMedianMilliseconds} ms, p95 ${report.timeToFirstTokenP95Milliseconds} ms`);
	print(`share of prompt tokens recomputed: ${report.shareRecomputed}`);
	print(`bookings: ${report.bookingsAsked} sent three times each, ${report.bookingsRun} run, ${report.duplicateRuns} run more than once`);
	print(`refused without running: ${report.refusedNotRun}; outcome unknown: ${report.unknown}; timeline events: ${report.timelineEvents}`);
	print('the last timeline events:');
	for (const line of deployment.timeline.lines.slice(-8)) {
		print(`  ${line}`);
	}
}

async function waitForSignal(): Promise<void> {
	const [first] = deployment.withRole('entry');
	console.log(JSON.stringify({
		entries: deployment.withRole('entry').map(({listed}) => listed.address),
		workspaceKey: demoCallers[0]!.key,
		model: demoCallers[0]!.model,
		servicePath: '/services/bookings/bookings',
		operatorAddress: first!.process.ready.operators,
		operatorKey: demoOperatorKey,
		timelineAddress: deployment.timeline.ready.address,
	}));
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

let report: DemoReport | undefined;
try {
	print('starting two data centres …');
	await deployment.start();
	await apply(demoDeclarationPath, 'the first declaration');
	if (options.hold) {
		await waitForSignal();
	} else {
		report = await runTraffic();
		printReport(report);
	}
} finally {
	await deployment.stop();
}

if (report !== undefined) {
	if (options.json) {
		console.log(JSON.stringify(report));
	}

	const isSuccess = report.wholeAnswers === report.requests && report.duplicateRuns === 0 && report.bookingsRun === report.bookingsAsked;
	process.exitCode = isSuccess ? 0 : 1;
}
