import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {rawRequest} from '../../test/raw-http.js';
import {type CallerEnd, SteeredCaller} from '../../test/steered-caller.js';
import {waitUntil} from '../../test/wait-until.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const requestBytes = (id: string): string => rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: id, [names.deadline]: '5000',
	}, body: 'x',
});

/** A gateway whose only endpoint leaves every request unanswered. */
async function startSilent(t: TestContext): Promise<{gateway: TestGateway; arrived: () => number}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'stream'})]})).start();
	let arrivals = 0;
	await gateway.addEndpoint(() => {
		arrivals++;
	});
	t.after(async () => gateway.close());
	return {gateway, arrived: () => arrivals};
}

/** Waits for the end of a request, and returns who closed its connection and why. */
async function closeOf({lines}: TestGateway, id: string): Promise<unknown[]> {
	const lineOf = (): Record<string, unknown> | undefined => lines.find(line => line.id === id && line.kind === 'request-ended');
	await waitUntil(() => lineOf() !== undefined);
	return [lineOf()?.outcome, lineOf()?.closedBy, lineOf()?.closeReason];
}

const callerEnds: Array<[CallerEnd, string]> = [['reset', 'ECONNRESET'], ['close', 'half-closed-reset']];
for (const [end, reason] of callerEnds) {
	test(`the log says that the caller closed the connection of an unanswered request (${end})`, async t => {
		// Guards against incidents in which it is not known which side closed a connection.
		const {gateway, arrived} = await startSilent(t);
		const caller = await SteeredCaller.connect(gateway.address);
		t.after(async () => caller.stop());
		await caller.send(requestBytes('a1'));
		await waitUntil(() => arrived() === 1);
		await caller.send('', end);
		assert.deepEqual(await closeOf(gateway, 'a1'), ['client-left', 'caller', reason]);
	});
}

test('the log says that the process closed the connection of a half-closed caller that cannot show that it reads', async t => {
	// Guards against incidents in which it is not known which side closed a connection.
	const {gateway, arrived} = await startSilent(t);
	const caller = await SteeredCaller.connect(gateway.address);
	t.after(async () => caller.stop());
	await caller.send(requestBytes('a1').replace('HTTP/1.1', 'HTTP/1.0'));
	await waitUntil(() => arrived() === 1);
	await caller.send('', 'half-close');
	assert.deepEqual(await closeOf(gateway, 'a1'), ['client-left', 'instance', 'half-closed-unverifiable']);
});
