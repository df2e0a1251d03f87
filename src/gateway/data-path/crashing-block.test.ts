import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	errorCodeOf, exchangeRaw, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {CrashLedger} from '../crashes/crash-ledger.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** Crashes closer to each other count as one. */
const betweenCrashesMilliseconds = 300;

const promptOf = (id: string, blocks: string): string => rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example',
		[names.attemptId]: id,
		[names.deadline]: '3000',
		[names.model]: 'lease',
		[names.tokenCount]: '300,10',
		[names.promptParts]: blocks,
		connection: 'close',
	}, body: id,
});

test('prompts with a block under which three endpoints have ended reach no other one, whatever else they hold', async () => {
	const ledger = new CrashLedger();
	const configuration = testConfiguration({routes: [testRoute({kind: 'stream', maxAttempts: 1, carriesPrompt: true})]});
	const gateways = [await new TestGateway(configuration, ledger).start(), await new TestGateway(configuration, ledger).start()];
	const reached: string[] = [];
	for (let number = 1; number <= 3; number++) {
		const gateway = gateways[number % 2]!;
		const name = `endpoint-${number}`;
		const record = await gateway.addEndpoint((request, response) => {
			reached.push(name);
			response.writeHead(200, {...sealedHeaders(request), 'content-type': 'text/event-stream'}).flushHeaders();
			setTimeout(() => {
				gateway.endEndpoint(name);
			}, 20);
		}, {name});
		await exchangeRaw(gateway.address, promptOf(`try-${number}`, `shared:100,bad:100,own-${number}:100`));
		while (ledger.reports().size < number) {
			await delay(10);
		}

		gateway.context.endpoints.remove(record.name, 0);
		await delay(betweenCrashesMilliseconds);
	}

	for (const [index, gateway] of gateways.entries()) {
		await gateway.addEndpoint((request, response) => {
			reached.push('healthy');
			answerSealed(request, response);
		}, {name: 'healthy'});
		assert.equal(statusOf(await exchangeRaw(gateway.address, promptOf(`sound-${index}`, `shared:100,other:100,own-${index}:100`))), 200);
		const answer = await exchangeRaw(gateway.address, promptOf(`bad-${index}`, `bad:100,other:100,new-${index}:100`));
		assert.equal(statusOf(answer), 503);
		assert.equal(errorCodeOf(answer), 'crashes-endpoints');
		assert.match(answer, /"ran":"not-run"/v);
		const block = gateway.lines.find(({kind}) => kind === 'request-blocked');
		assert.deepEqual(block?.features, ['block:bad'], 'the log names the block under the id of the request');
	}

	for (const gateway of gateways) {
		await gateway.close();
	}

	assert.deepEqual(reached, ['endpoint-1', 'endpoint-2', 'endpoint-3', 'healthy', 'healthy']);
});

test('a prompt whose endpoint ends as it begins to answer is tried again only if its blocks have been answered before', async () => {
	// Guards against one prompt that ends as many endpoints as it has attempts.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream', maxAttempts: 3, carriesPrompt: true})]})).start();
	const reached: string[] = [];
	const addEnding = async (name: string, slots: number): Promise<void> => {
		await gateway.addEndpoint((request, response) => {
			reached.push(name);
			if (request.headers[names.attemptId] === 'sound') {
				answerSealed(request, response, {headers: {'content-type': 'text/event-stream'}, body: 'id: 1\ndata: one\n\n'});
				return;
			}

			response.writeHead(200, {...sealedHeaders(request), 'content-type': 'text/event-stream'}).flushHeaders();
			setTimeout(() => {
				gateway.endEndpoint(name);
			}, 20);
		}, {name, slots});
	};

	await addEnding('first', 100);
	await addEnding('second', 50);
	await addEnding('third', 20);
	assert.equal(statusOf(await exchangeRaw(gateway.address, promptOf('sound', 'known:100,own:100'))), 200);
	reached.length = 0;
	assert.equal(statusOf(await exchangeRaw(gateway.address, promptOf('unknown', 'known:100,fresh:100,own:100'))), 502);
	assert.equal(reached.length, 1);
	await exchangeRaw(gateway.address, promptOf('known', 'known:100,own:100'));
	assert.equal(reached.length, 3, 'both other endpoints');
	await gateway.close();
});
