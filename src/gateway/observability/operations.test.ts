import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway, type PlayedEndpoint} from '../testing/test-gateway.js';

const requestOf = (id: string): string => rawRequest({
	method: 'POST',
	path: '/',
	headers: {
		host: 'quay.example', [names.attemptId]: id, [names.deadline]: '2000', connection: 'close',
	},
	body: 'x',
});

/** Sends one request to a gateway before one endpoint; gives the status and the lines with the request's id. */
async function linesOf(kind: 'stream' | 'non-idempotent', play: PlayedEndpoint | undefined): Promise<{status: number; lines: Array<Record<string, unknown>>}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind, timeoutMilliseconds: 400})]})).start();
	if (play !== undefined) {
		await gateway.addEndpoint(play);
	}

	const answer = await exchangeRaw(gateway.address, requestOf('lost-1'));
	await gateway.close();
	return {status: statusOf(answer), lines: gateway.lines.filter(({id}) => id === 'lost-1')};
}

test('from the id of a refused request to its cause: no endpoint of the service is known', async () => {
	const {status, lines} = await linesOf('non-idempotent', undefined);
	assert.equal(status, 503);
	assert.deepEqual(lines.map(({kind, outcome, sends, service}) => ({
		kind, outcome, sends, service,
	})), [{
		kind: 'request-ended', outcome: 'refused', sends: 0, service: 'desk',
	}]);
});

test('from the id of a broken stream to its cause: the endpoint cut it, and the route may not be resumed', async () => {
	const {status, lines} = await linesOf('stream', (request, response) => {
		response.writeHead(200, sealedHeaders(request));
		response.write('id: 1\ndata: a\n\n', () => {
			response.destroy();
		});
	});
	assert.equal(status, 200);
	assert.deepEqual(lines.map(({kind, endpoint, outcome, step}) => ({
		kind, endpoint, outcome, step,
	})), [
		{
			kind: 'try-failed', endpoint: 'desk-1', outcome: 'cut', step: 'break-off',
		},
		{
			kind: 'request-ended', endpoint: undefined, outcome: 'broken-off', step: undefined,
		},
	]);
});

test('from the id of a booking answered 504 to its cause: the endpoint held it until the time-out, and it may have run', async () => {
	const {status, lines} = await linesOf('non-idempotent', () => {
		// It never answers.
	});
	assert.equal(status, 504);
	const [end] = lines;
	assert.equal(lines.length, 1);
	assert.deepEqual([end?.outcome, end?.endpoints, end?.status], ['timeout', ['desk-1'], 504]);
	assert.ok(Number(end?.milliseconds) >= 399);
});
