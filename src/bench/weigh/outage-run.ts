/**
 * `npm run bench:weigh -- outage`: takes the table service of a small deployment of processes down for a while. Measures
 * which requests are served and refused, whether a new entry gets its configuration from peers, and how fast the next
 * configuration is in force everywhere.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {sendBooking, sendPrompt} from '../../demo/demo-client.js';
import {demoCallers} from '../../demo/demo-traffic.js';
import {changedDemoDeclarationPath, demoDeclarationPath, permitsModelService} from '../../demo/demo-declaration.js';
import {demoOperatorKey, Deployment} from '../../demo/deployment.js';
import {runApply} from '../../operator/declaration-commands.js';
import {OperatorClient} from '../../operator/operator-client.js';

const outageMilliseconds = 10_000;
const pollIntervalMilliseconds = 20;
const limitMilliseconds = 20_000;
const calls = 20;

/** The measurements. */
export type OutageRun = {
	promptsAsked: number;
	promptsServed: number;
	bookingsAsked: number;
	bookingsRefused: number;
	refusals: string[];
	newEntryReadyMilliseconds: number | undefined;
	everywhereMilliseconds: number | undefined;
	tableReadsPerSecond: number;
};

/** Starts a deployment, takes its table service down and returns the measurements. */
export async function runOutage(): Promise<OutageRun> {
	const deployment = new Deployment({
		dataCentres: ['split-riva', 'split-luka'],
		entriesPerDataCentre: 3,
		enginesPerDataCentre: 2,
		modelServices: [permitsModelService],
		plainService: 'bookings',
	});
	try {
		await deployment.start();
		await apply(deployment, demoDeclarationPath);
		await timeUntil(async () => allReady(deployment, 1));
		await deployment.setFaults(deployment.platform.table, {down: true});
		await delay(outageMilliseconds);
		const during = await callAll(deployment);
		const newEntryReadyMilliseconds = await startNewEntry(deployment);
		await deployment.setFaults(deployment.platform.table, {down: false});
		const before = await tableReads(deployment);
		await apply(deployment, changedDemoDeclarationPath);
		const everywhereMilliseconds = await timeUntil(async () => allReady(deployment, 2));
		const readFrom = Date.now();
		await delay(3000);
		const tableReadsPerSecond = ((await tableReads(deployment)) - before) * 1000 / (Date.now() - readFrom + (everywhereMilliseconds ?? 0));
		return {
			...during, newEntryReadyMilliseconds, everywhereMilliseconds, tableReadsPerSecond,
		};
	} finally {
		await deployment.stop();
	}
}

type Calls = Pick<OutageRun, 'promptsAsked' | 'promptsServed' | 'bookingsAsked' | 'bookingsRefused' | 'refusals'>;

async function callAll(deployment: Deployment): Promise<Calls> {
	const entries = deployment.withRole('entry').map(({listed}) => listed.address);
	const entryOf = (index: number): string => entries[index % entries.length]!;
	const {key, model} = demoCallers[0]!;
	const prompts = await Promise.all(Array.from({length: calls}, async (_, index) => sendPrompt({
		entry: entryOf(index), key, model, content: `Question ${index}`, maxTokens: 8, stream: true,
	}, () => performance.now())));
	const bookings = await Promise.all(Array.from({length: calls}, async (_, index) => sendBooking({
		entry: entryOf(index), key, path: '/services/bookings/bookings', name: `outage-${index}`, idempotencyKey: `outage-key-${index}`,
	})));
	const refused = bookings.filter(({ran}) => ran === 'not-run');
	return {
		promptsAsked: calls,
		promptsServed: prompts.filter(({status}) => status === 200).length,
		bookingsAsked: calls,
		bookingsRefused: refused.length,
		refusals: [...new Set(bookings.map(({status, ran}) => `${status} ${ran ?? ''}`))],
	};
}

async function startNewEntry(deployment: Deployment): Promise<number | undefined> {
	const startedAt = Date.now();
	const entry = await deployment.startEntry('split-riva-entry-new', 'split-riva');
	await deployment.announce();
	const took = await timeUntil(async () => isReady(entry.listed.address, 1));
	return took === undefined ? undefined : Date.now() - startedAt;
}

async function apply(deployment: Deployment, path: string): Promise<void> {
	const [entry] = deployment.withRole('entry');
	const client = new OperatorClient(String(entry!.process.ready.operators), demoOperatorKey);
	await runApply([path], {author: 'bench', reason: 'outage'}, client, {line: () => undefined, problem: () => undefined});
}

async function tableReads(deployment: Deployment): Promise<number> {
	const counts = await deployment.countsOf(deployment.platform.table);
	return Object.entries(counts).filter(([name]) => /read|scan/v.test(name)).reduce((sum, [, count]) => sum + Number(count), 0);
}

async function allReady(deployment: Deployment, version: number): Promise<boolean> {
	const ready = await Promise.all(deployment.withRole('entry').map(async ({listed}) => isReady(listed.address, version)));
	return ready.every(Boolean);
}

async function isReady(address: string, version: number): Promise<boolean> {
	const answer = await request(`http://${address}/readyz`);
	const {ready, configurationVersion} = await answer.body.json() as {ready: boolean; configurationVersion: number};
	return ready && configurationVersion >= version;
}

async function timeUntil(holds: () => Promise<boolean>): Promise<number | undefined> {
	const startedAt = Date.now();
	while (Date.now() - startedAt < limitMilliseconds) {
		if (await holds()) {
			return Date.now() - startedAt;
		}

		await delay(pollIntervalMilliseconds);
	}

	return undefined;
}
