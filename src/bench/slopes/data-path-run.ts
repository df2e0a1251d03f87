/** Measures the processor time that an entry process spends on a request, by the number of tokens in the answer. */
import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {sendPrompt} from '../../demo/demo-client.js';
import {demoCallers} from '../../demo/demo-traffic.js';
import {demoDeclarationPath} from '../../demo/demo-declaration.js';
import {demoOperatorKey, Deployment} from '../../demo/deployment.js';
import {runApply} from '../../operator/declaration-commands.js';
import {OperatorClient} from '../../operator/operator-client.js';

const service = 'permits';
const promptCharacters = 8000;
const concurrentCallers = 8;
const requestsPerCaller = 15;
const clockTicksPerSecond = 100;
const pollIntervalMilliseconds = 50;

/** Processor time of the entry per request, and how many of the requests were served. */
export type DataPathCost = {processorMilliseconds: number; served: number; asked: number};

/**
 * Sends prompts through one entry process.
 *
 * @param tokensOf - Number of tokens in each answer, one figure for each run.
 * @returns The cost of each run, in order.
 */
export async function runDataPath(tokensOf: readonly number[]): Promise<DataPathCost[]> {
	const deployment = new Deployment({
		dataCentres: ['split-riva'],
		entriesPerDataCentre: 1,
		enginesPerDataCentre: 1,
		modelServices: [{service, model: 'permit-1', weightVersion: 'w1'}],
		plainService: 'bookings',
		engineArguments: ['--milliseconds-per-token', '1', '--prefill-tokens-per-second', '2000000'],
	});
	try {
		await deployment.start();
		const [entry] = deployment.withRole('entry');
		const client = new OperatorClient(String(entry!.process.ready.operators), demoOperatorKey);
		await runApply([demoDeclarationPath], {author: 'bench', reason: 'slopes'}, client, {line: () => undefined, problem: () => undefined});
		await untilReady(entry!.listed.address);
		const costs: DataPathCost[] = [];
		await runOnce(entry!.listed.address, entry!.process.child.pid!, 16);
		for (const tokens of tokensOf) {
			costs.push(await runOnce(entry!.listed.address, entry!.process.child.pid!, tokens));
		}

		return costs;
	} finally {
		await deployment.stop();
	}
}

async function runOnce(entry: string, pid: number, tokens: number): Promise<DataPathCost> {
	const before = processorMilliseconds(pid);
	let served = 0;
	const caller = async (number: number): Promise<void> => {
		for (let index = 0; index < requestsPerCaller; index++) {
			const content = `prompt ${number} ${index} ${'x'.repeat(promptCharacters)}`;
			const {status} = await sendPrompt({
				entry, key: demoCallers[0]!.key, model: demoCallers[0]!.model, content, maxTokens: tokens, stream: true,
			}, () => performance.now());
			served += status === 200 ? 1 : 0;
		}
	};

	await Promise.all(Array.from({length: concurrentCallers}, async (_, number) => caller(number)));
	const asked = concurrentCallers * requestsPerCaller;
	return {processorMilliseconds: (processorMilliseconds(pid) - before) / asked, served, asked};
}

/** Returns the user and system time of a process in milliseconds, as the Linux kernel counts it. */
function processorMilliseconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1000 / clockTicksPerSecond;
}

async function untilReady(entry: string): Promise<void> {
	for (;;) {
		const answer = await request(`http://${entry}/readyz`);
		const {ready, configurationVersion} = await answer.body.json() as {ready: boolean; configurationVersion: number};
		if (ready && configurationVersion > 0) {
			return;
		}

		await delay(pollIntervalMilliseconds);
	}
}
