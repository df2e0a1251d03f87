import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	errorCodeOf, exchangeRaw, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {CrashLedger} from '../crashes/crash-ledger.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const requestOf = (id: string, body: string): string => rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: id, [names.deadline]: '2000', connection: 'close',
	}, body,
});

/** Lets one request crash the only endpoint three times, at two gateways in turn that share what they know. */
async function crashThree(): Promise<{gateways: TestGateway[]; reached: string[]}> {
	const ledger = new CrashLedger();
	const configuration = testConfiguration({routes: [testRoute({kind: 'stream', maxAttempts: 1})]});
	const gateways = [await new TestGateway(configuration, ledger).start(), await new TestGateway(configuration, ledger).start()];
	const reached: string[] = [];
	for (let number = 1; number <= 3; number++) {
		const gateway = gateways[number % 2]!;
		const name = `endpoint-${number}`;
		const record = await gateway.addEndpoint(() => {
			reached.push(name);
			gateway.endEndpoint(name);
		}, {name});
		await exchangeRaw(gateway.address, requestOf(`try-${number}`, 'poison'));
		while (ledger.reports().size < number) {
			await delay(10);
		}

		gateway.context.endpoints.remove(record.name, 0);
	}

	for (const gateway of gateways) {
		await gateway.addEndpoint((request, response) => {
			reached.push('healthy');
			answerSealed(request, response);
		}, {name: 'healthy'});
	}

	return {gateways, reached};
}

test('a request under which three endpoints have ended reaches no other one, at whichever instance it returns', async () => {
	const {gateways, reached} = await crashThree();
	for (const gateway of gateways) {
		const answer = await exchangeRaw(gateway.address, requestOf('return', 'poison'));
		assert.equal(statusOf(answer), 503);
		assert.equal(errorCodeOf(answer), 'crashes-endpoints');
		assert.match(answer, /"ran":"not-run"/v);
		assert.match(answer, /retry-after: [1-9]/iv);
		const block = gateway.lines.find(({kind}) => kind === 'request-blocked');
		assert.equal((block?.crashes as unknown[]).length, 3, 'the log names the crashes under the id of the request');
		assert.equal(statusOf(await exchangeRaw(gateway.address, requestOf('other', 'other words'))), 200);
		await gateway.close();
	}

	assert.deepEqual(reached, ['endpoint-1', 'endpoint-2', 'endpoint-3', 'healthy', 'healthy']);
});
