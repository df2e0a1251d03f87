import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Left, Right} from 'purify-ts/Either';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {
	answerSealed, type EndpointBehaviour, sealedHeaders, TestGateway,
} from '../testing/test-gateway.js';
import {EndpointFeedHandler} from '../watchers/endpoint-feed-handler.js';
import {ownWireNames as names} from './wire-names.js';

const timeoutMilliseconds = 6000;
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

/** Starts a gateway with as many endpoints as behaviours; they behave so in the order of the requests, whose endpoints are noted. */
async function startGateway(behaviours: EndpointBehaviour[]): Promise<{gateway: TestGateway; sent: EndpointRecord[]}> {
	const route = testRoute({
		kind: 'resumable-stream', carriesPrompt: true, timeoutMilliseconds, maxAttempts: 2, maxEventGapMilliseconds: 400,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	const inTurn = behaviours.values();
	const sent: EndpointRecord[] = [];
	for (const index of behaviours.keys()) {
		const endpoint = await gateway.addEndpoint(async (incoming, response) => {
			sent.push(endpoint);
			await inTurn.next().value!(incoming, response);
		}, {name: `engine-${index}`});
	}

	return {gateway, sent};
}

/** Applies a change of the list as the feed does: the row of an endpoint vanishes, and that of another one may appear. */
function changeList({context}: TestGateway, removed: EndpointRecord, added?: EndpointRecord): void {
	const handler = new EndpointFeedHandler(context, {
		operatorTable: 'op', endpointTable: 'servers', readOperatorRow: () => Left([]), readEndpointRow: () => Right(added!),
	});
	const now = context.clock.moment();
	handler.handleChanges([{
		key: removed.name, content: {}, isDeleted: true, revision: 1,
	}], now, now, 'live');
	if (added !== undefined) {
		handler.handleChanges([{
			key: added.name, content: {}, isDeleted: false, revision: 2,
		}], now, now, 'live');
	}
}

test('a stream that has an event every half a second stays where it runs when the row of its endpoint vanishes', async () => {
	// Guards against an endpoint that leaves without notice being taken for silent.
	const answerSlowly: EndpointBehaviour = async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		for (let event = Number(incoming.headers[names.lastEventId] ?? 0) + 1; event <= 4; event++) {
			response.write(`id: ${event}\ndata: event ${event}\n\n`);
			await pause(50);
			if (event === 2) {
				changeList(gateway, sent[0]!);
			}

			await pause(450);
		}

		response.end();
	};

	const {gateway, sent} = await startGateway([answerSlowly, answerSlowly]);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.match(answer, /data: event 4\n[\s\S]*0\r\n\r\n$/v, JSON.stringify(gateway.lines));
	assert.equal(sent.length, 1, JSON.stringify(gateway.lines));
});

test('a prompt that waits at an endpoint without power is sent to another one although the row of the first has vanished', async () => {
	// Guards against callers that wait until their timeout although another endpoint is free.
	const {gateway, sent} = await startGateway([
		() => undefined,
		(incoming, response) => {
			answerSealed(incoming, response, {headers: {'content-type': 'text/event-stream'}, body: 'id: 1\ndata: event 1\n\n'});
		},
	]);
	setTimeout(() => {
		changeList(gateway, sent[0]!);
	}, 600);
	const startedAt = performance.now();
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.match(answer, /^HTTP\/1\.1 200 /v, JSON.stringify(gateway.lines));
	assert.ok(performance.now() - startedAt < 3000, String(performance.now() - startedAt));
});

test('a prompt that waits at an endpoint whose row has vanished is ended once another process has its address', async () => {
	// Guards against callers that wait until their timeout although no answer can come.
	const {gateway, sent} = await startGateway([() => undefined]);
	setTimeout(() => {
		const [endpoint] = sent;
		changeList(gateway, endpoint!, {
			...endpoint!, name: 'other', service: 'other', startedAt: endpoint!.startedAt + 1,
		});
	}, 600);
	const startedAt = performance.now();
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.match(answer, /^HTTP\/1\.1 502 /v, JSON.stringify(gateway.lines));
	assert.ok(performance.now() - startedAt < 3000, String(performance.now() - startedAt));
});
