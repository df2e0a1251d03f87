/** A graceful stop, a leaving endpoint and a configuration change over real processes, as callers and operators see them. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {sendBooking, sendPrompt} from '../demo/demo-client.js';
import {changedDemoDeclarationPath, demoDeclarationPath, permitsModelService} from '../demo/demo-declaration.js';
import {type DeployedProcess, Deployment} from '../demo/deployment.js';
import {engineAnswerTo} from '../stand-in/engine-token-at.js';

const leavingBoundMilliseconds = 3000;
const configurationBoundMilliseconds = 3000;
const pollIntervalMilliseconds = 20;

async function startDeployment(): Promise<Deployment> {
	const deployment = new Deployment({
		dataCentres: ['split-riva'],
		entriesPerDataCentre: 3,
		enginesPerDataCentre: 2,
		modelServices: [permitsModelService],
		plainService: 'bookings',
		plainServicesPerDataCentre: 2,
		engineArguments: ['--milliseconds-per-token', '20', '--batch-limit', '64'],
	});
	await deployment.start();
	await deployment.apply(demoDeclarationPath, 'test', () => undefined);
	return deployment;
}

async function isAnsweredCompletely(entry: DeployedProcess, content: string, maxTokens: number): Promise<boolean> {
	const result = await sendPrompt({
		entry: entry.listed.address, key: 'quay-demo-key', model: 'permit-1', content, maxTokens, stream: true,
	}, () => performance.now());
	return result.status === 200 && result.text === engineAnswerTo(`user: ${content}`, maxTokens);
}

async function countOf(deployment: Deployment, engine: DeployedProcess, name: 'running' | 'completions' | 'runs'): Promise<number> {
	const counts = await deployment.countsOf(engine.listed.address);
	return Number(counts[name]);
}

test('over real processes: a graceful stop, a leaving endpoint and a configuration change', async context => {
	const deployment = await startDeployment();
	context.after(async () => deployment.stop());
	const [stoppedEntry, remainingEntry] = deployment.withRole('entry');
	const engines = deployment.withRole('model-engine');
	const plainServices = deployment.withRole('plain-service');

	await context.test('an accepted change is in force on every instance within 3 s', async () => {
		// An operator applies a change at one entry; each of the three entries reports the version that it has in force.
		const acceptedAt = performance.now();
		await deployment.apply(changedDemoDeclarationPath, 'test', () => undefined);
		const took = performance.now() - acceptedAt;
		assert.ok(took <= configurationBoundMilliseconds, `${took} ms`);
	});

	await context.test('a graceful stop with 50 open streams completes all 50 answers', async () => {
		// Fifty callers are receiving streams when the entry gets SIGTERM. Each gets its complete answer, and the process exits
		// after the last one.
		const exited = once(stoppedEntry!.process.child, 'exit');
		const answers = Array.from({length: 50}, async (_, index) => isAnsweredCompletely(stoppedEntry!, `stream ${index}`, 100));
		for (;;) {
			const running = await Promise.all(engines.map(async engine => countOf(deployment, engine, 'running')));
			if (running.reduce((sum, count) => sum + count, 0) === 50) {
				break;
			}

			await delay(pollIntervalMilliseconds);
		}

		stoppedEntry!.process.child.kill('SIGTERM');
		const whole = await Promise.all(answers);
		assert.equal(whole.filter(Boolean).length, 50);
		assert.deepEqual(await exited, [0, null]);
	});

	await context.test('leaving endpoints get no new requests after 3 s while the list lags by 30 s', async () => {
		// One of two engines and one of two plain services report in their load reports that they are leaving. The list is
		// updated at once too, but shows both as live for another 30 s. After the bound of 3 s, twenty prompts and twenty
		// bookings arrive, and none may go to them.
		await deployment.setFaults(deployment.platform.list, {lagMilliseconds: 30_000});
		const leaving = [engines[0]!, plainServices[0]!];
		for (const {listed} of leaving) {
			listed.state = 'leaving';
			await deployment.setFaults(listed.address, {leaving: true});
		}

		await deployment.announce();
		await delay(leavingBoundMilliseconds);
		const prompts = await countOf(deployment, engines[0]!, 'completions');
		const bookings = await countOf(deployment, plainServices[0]!, 'runs');
		const whole = await Promise.all(Array.from({length: 20}, async (_, index) => isAnsweredCompletely(remainingEntry!, `late ${index}`, 5)));
		const booked = await Promise.all(Array.from({length: 20}, async (_, index) => sendBooking({
			entry: remainingEntry!.listed.address, key: 'quay-demo-key', path: '/services/bookings/bookings', name: `late-${index}`, idempotencyKey: `late-${index}`,
		})));
		assert.equal(await countOf(deployment, engines[0]!, 'completions'), prompts);
		assert.equal(await countOf(deployment, plainServices[0]!, 'runs'), bookings);
		assert.equal(whole.filter(Boolean).length, 20);
		assert.equal(booked.filter(({status}) => status === 201).length, 20);
	});
});
