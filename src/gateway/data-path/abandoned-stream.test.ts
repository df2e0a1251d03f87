import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {type EndpointBehaviour, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const timeoutMilliseconds = 8000;
const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example',
		[names.attemptId]: 'a1',
		[names.deadline]: String(timeoutMilliseconds),
		[names.model]: 'lease',
		[names.tokenCount]: '100,10',
		[names.promptParts]: 'ab:100',
		connection: 'close',
	}, body: 'x',
});

/** Starts a gateway with a stream that may be resumed, of short objectives, and an endpoint for each behaviour. */
async function startGateway(carriesPrompt: boolean, behaviours: EndpointBehaviour[], maxEventGapMilliseconds = 100): Promise<TestGateway> {
	const route = testRoute({
		kind: 'resumable-stream', carriesPrompt, timeoutMilliseconds, maxAttempts: behaviours.length, maxEventGapMilliseconds,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	const inTurn = behaviours.values();
	for (const index of behaviours.keys()) {
		await gateway.addEndpoint(async (incoming, response) => inTurn.next().value!(incoming, response), {name: `engine-${index}`});
	}

	return gateway;
}

function begin(incoming: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
}

function assertWhole(answer: string, gateway: TestGateway): void {
	assert.match(answer, /data: last\n\n[\s\S]*0\r\n\r\n$/v, `${answer.slice(-200)} ${JSON.stringify(gateway.lines)}`);
}

test('a stream with nowhere else to go is not cut while its caller still waits', async () => {
	const gateway = await startGateway(true, [async (incoming, response) => {
		begin(incoming, response);
		response.write('id: 1\ndata: first\n\n');
		await pause(2600);
		response.end('id: 2\ndata: last\n\n');
	}], 330);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assertWhole(answer, gateway);
});

test('a stream whose endpoint works on others for longer than its objectives suggest before it begins is not refused', async () => {
	const gateway = await startGateway(true, [async (incoming, response) => {
		await pause(2600);
		begin(incoming, response);
		response.end('id: 1\ndata: last\n\n');
	}]);
	const endpoint = gateway.context.endpoints.all()[0]!;
	// Other streams at the endpoint get their events.
	const others = setInterval(() => {
		gateway.context.placement.received(endpoint, gateway.context.clock.moment().steady);
	}, 50);
	const answer = await exchangeRaw(gateway.address, request);
	clearInterval(others);
	await gateway.close();
	assertWhole(answer, gateway);
});

test('a replacement that has taken over a stream is not ended for the silence of the endpoint before it', async () => {
	const gateway = await startGateway(true, [
		async (incoming, response) => {
			begin(incoming, response);
			response.write('id: 1\ndata: first\n\n');
			await pause(timeoutMilliseconds);
			response.destroy();
		},
		async (incoming, response) => {
			await pause(1000);
			begin(incoming, response);
			response.end('id: 2\ndata: last\n\n');
		},
	]);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assertWhole(answer, gateway);
});

test('a stream of an endpoint that goes on is not cut because its replacement rejects it late', async () => {
	const gateway = await startGateway(true, [
		async (incoming, response) => {
			begin(incoming, response);
			response.write('id: 1\ndata: first\n\n');
			await pause(2600);
			response.end('id: 2\ndata: last\n\n');
		},
		async (_incoming, response) => {
			// A process that was silent as well: its connections are accepted by the operating system meanwhile.
			await pause(500);
			response.writeHead(503, {[names.notExecuted]: '1'});
			response.end();
		},
	], 400);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assertWhole(answer, gateway);
});
