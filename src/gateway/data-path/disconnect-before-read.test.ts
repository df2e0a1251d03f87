import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {connectCallers, blockEventLoop} from '../../test/separate-callers.js';
import {waitUntil} from '../../test/wait-until.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const requests = 20;
const stallMilliseconds = 600;

function requestBytes(id: string, deadlineMilliseconds: number): string {
	return rawRequest({
		method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: id, [names.deadline]: String(deadlineMilliseconds)}, body: 'x',
	});
}

for (const kind of ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'] satisfies RouteKind[]) {
	test(`a request whose caller disconnected before it was read is not forwarded (${kind})`, async () => {
		// Guards against work for callers that disconnected during a pause: a request is read before the close that follows it.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
		const seen = new Set<string>();
		await gateway.addEndpoint((incoming, response) => {
			seen.add(String(incoming.headers[names.attemptId]));
			answerSealed(incoming, response);
		}, {slots: requests});
		const calls = Array.from({length: requests}, (_, index) => {
			const leaves = index % 2 === 0;
			return {bytes: requestBytes(`${leaves ? 'leaves' : 'stays'}-${index}`, 2000), leaves};
		});
		const callers = await connectCallers(gateway.address, calls);
		await pause(100);
		callers.send();
		blockEventLoop(stallMilliseconds);
		await waitUntil(() => seen.size >= requests / 2);
		await pause(500);
		await callers.stop();
		await gateway.close();
		assert.deepEqual([...seen].filter(id => id.startsWith('leaves')), []);
		assert.equal(seen.size, requests / 2);
	});
}

test('a request whose deadline has passed when its endpoint is chosen is not forwarded', async () => {
	// Guards against work for callers that timed out while the request waited for the coordinator's answer.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({carriesPrompt: true})]})).start();
	gateway.context.peerUpdates = {
		...gateway.context.peerUpdates,
		async refresh() {
			await pause(400);
		},
	};
	let runs = 0;
	await gateway.addEndpoint((incoming, response) => {
		runs++;
		answerSealed(incoming, response);
	});
	const bytes = requestBytes('late', 200).replace('host:', 'connection: close\r\nhost:');
	const answer = await exchangeRaw(gateway.address, bytes);
	await gateway.close();
	assert.equal(runs, 0);
	assert.equal(statusOf(answer), 503);
	assert.match(answer, /"ran":"not-run"/v);
});
