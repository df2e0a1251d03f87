/**
 * `npm run bench:weigh -- entries`: runs 24 entry processes in two data centres under load and kills a third of them at
 * once. Measures the requests that callers lose, the reads of the table, and the recovery of the surviving entries.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {sendPrompt} from '../../demo/demo-client.js';
import {demoCallers} from '../../demo/demo-traffic.js';
import {demoDeclarationPath, permitsModelService} from '../../demo/demo-declaration.js';
import {type DeployedProcess, demoOperatorKey, Deployment} from '../../demo/deployment.js';
import {runApply} from '../../operator/declaration-commands.js';
import {OperatorClient} from '../../operator/operator-client.js';

const entriesPerDataCentre = 12;
const enginesPerDataCentre = 3;
const settleMilliseconds = 8000;
const afterMilliseconds = 9000;
const pauseMilliseconds = 150;
const pollIntervalMilliseconds = 100;

/** The measurements; times are in milliseconds since the kill. */
export type EntryKillResult = {
	survivors: number;
	promptsAtSurvivors: number;
	lostAtSurvivors: number;
	lostAtDead: number;
	ownedAgain: number | undefined;
	oneView: number | undefined;
	tableReadsPerSecondBefore: number;
	tableReadsPerSecondAfter: number;
};

type PeersOverview = {ownedEndpoints: string[]; members: Array<{status: string}>};

/** Starts a deployment, kills a third of its entries and returns the measurements. */
export async function runEntryKill(): Promise<EntryKillResult> {
	const deployment = new Deployment({
		dataCentres: ['split-riva', 'split-luka'],
		entriesPerDataCentre,
		enginesPerDataCentre,
		modelServices: [permitsModelService],
		plainService: 'bookings',
	});
	try {
		await deployment.start();
		const entries = deployment.withRole('entry');
		const client = new OperatorClient(String(entries[0]!.process.ready.operators), demoOperatorKey);
		await runApply([demoDeclarationPath], {author: 'bench', reason: 'deaths'}, client, {line: () => undefined, problem: () => undefined});
		await delay(settleMilliseconds);
		return await killAThird(deployment, entries);
	} finally {
		await deployment.stop();
	}
}

async function killAThird(deployment: Deployment, entries: readonly DeployedProcess[]): Promise<EntryKillResult> {
	const killed = entries.filter((_, index) => index % 3 === 0);
	const survivors = entries.filter((_, index) => index % 3 !== 0);
	const stop = new AbortController();
	const counts = {promptsAtSurvivors: 0, lostAtSurvivors: 0, lostAtDead: 0};
	const callers = entries.map(async entry => call(entry, survivors.includes(entry), counts, stop.signal));
	const readsPerSecondBefore = await readsPerSecond(deployment, settleMilliseconds / 2);
	const diedAt = Date.now();
	for (const {process: {child}} of killed) {
		process.kill(child.pid!, 'SIGKILL');
	}

	const [recovery, tableReadsPerSecondAfter] = await Promise.all([watch(survivors, diedAt), readsPerSecond(deployment, afterMilliseconds)]);
	stop.abort();
	await Promise.all(callers);
	return {
		survivors: survivors.length, ...counts, ...recovery, tableReadsPerSecondBefore: readsPerSecondBefore, tableReadsPerSecondAfter,
	};
}

type Counts = Pick<EntryKillResult, 'promptsAtSurvivors' | 'lostAtSurvivors' | 'lostAtDead'>;

async function call(entry: DeployedProcess, survives: boolean, counts: Counts, signal: AbortSignal): Promise<void> {
	const {key, model} = demoCallers[0]!;
	for (let number = 0; !signal.aborted; number++) {
		const isWhole = await sendPrompt({
			entry: entry.listed.address, key, model, content: `Question ${number} at ${entry.listed.name}`, maxTokens: 8, stream: true,
		}, () => performance.now()).then(({status}) => status === 200, () => false);
		if (survives) {
			counts.promptsAtSurvivors++;
			counts.lostAtSurvivors += isWhole ? 0 : 1;
		} else if (!isWhole) {
			counts.lostAtDead++;
			return;
		}

		await delay(pauseMilliseconds);
	}
}

async function watch(survivors: readonly DeployedProcess[], diedAt: number): Promise<{ownedAgain: number | undefined; oneView: number | undefined}> {
	const recovery: {ownedAgain: number | undefined; oneView: number | undefined} = {ownedAgain: undefined, oneView: undefined};
	const endpoints = 2 * enginesPerDataCentre;
	while (Date.now() - diedAt < afterMilliseconds) {
		const overviews = await Promise.all(survivors.map(async entry => overviewOf(entry)));
		const at = Date.now() - diedAt;
		const owned = overviews.flatMap(({ownedEndpoints}) => ownedEndpoints);
		const isOwned = owned.length === endpoints && new Set(owned).size === endpoints;
		const isOneView = overviews.every(({members}) => members.filter(({status}) => status === 'alive' || status === 'suspect').length === survivors.length);
		recovery.ownedAgain = isOwned ? recovery.ownedAgain ?? at : undefined;
		recovery.oneView = isOneView ? recovery.oneView ?? at : undefined;
		await delay(pollIntervalMilliseconds);
	}

	return recovery;
}

async function overviewOf(entry: DeployedProcess): Promise<PeersOverview> {
	const answer = await request(`http://${String(entry.process.ready.operators)}/operator/peers`, {headers: {authorization: `Bearer ${demoOperatorKey}`}});
	return await answer.body.json() as PeersOverview;
}

async function readsPerSecond(deployment: Deployment, milliseconds: number): Promise<number> {
	const readsNow = async (): Promise<number> => {
		const {reads} = await deployment.countsOf(deployment.platform.table);
		return Number(reads);
	};

	const before = await readsNow();
	await delay(milliseconds);
	return ((await readsNow()) - before) * 1000 / milliseconds;
}
