import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {type EndpointBehaviour, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});

/** An endpoint that breaks the stream off after some events. */
function breaksAfter(events: number): EndpointBehaviour {
	return (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		response.flushHeaders();
		for (let id = 1; id <= events; id++) {
			response.write(`id: ${id}\ndata: first\n\n`);
		}

		setTimeout(() => {
			response.destroy();
		}, 30);
	};
}

/** An endpoint that sends the rest of the stream, of three events, and says by which endpoint they were made. */
function goesOn(maker: string): EndpointBehaviour {
	return (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		for (let id = 1 + Number(incoming.headers[names.lastEventId] ?? 0); id <= 3; id++) {
			response.write(`id: ${id}\ndata: ${maker}\n\n`);
		}

		response.end();
	};
}

const rejects: EndpointBehaviour = (incoming, response) => {
	response.writeHead(503, {[names.notExecuted]: '1'});
	response.end();
};

/** Endpoints are chosen in this order. Returns who made each event, and whether the answer looks complete. */
async function play(endpoints: Array<[softwareVersion: string, behaviour: EndpointBehaviour]>): Promise<{makers: string[]; isWhole: boolean}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream', maxAttempts: 4})]})).start();
	// The budget allows a retry for each request.
	for (const _ of endpoints) {
		gateway.context.retryBudget.countRequest('desk', gateway.context.clock.moment().steady);
	}

	for (const [index, [softwareVersion, behaviour]] of endpoints.entries()) {
		await gateway.addEndpoint(behaviour, {softwareVersion, slots: 40 - (10 * index)});
	}

	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	const events = [...answer.matchAll(/id: (?<id>\d+)\ndata: (?<maker>.+)\n/gv)].map(({groups}) => groups!);
	assert.deepEqual(events.map(({id}) => Number(id)), events.map((_, index) => index + 1));
	return {makers: events.map(({maker}) => maker!), isWhole: answer.endsWith('0\r\n\r\n')};
}

test('a stream that breaks goes on at the version that began it, although another version is less busy', async () => {
	const answer = await play([['v1', breaksAfter(1)], ['v2', goesOn('other')], ['v1', goesOn('same')]]);
	assert.deepEqual(answer, {makers: ['first', 'same', 'same'], isWhole: true});
});

test('a stream whose version has no other endpoint ends when it breaks', async () => {
	const answer = await play([['v1', breaksAfter(1)], ['v2', goesOn('other')], ['', goesOn('other')]]);
	assert.deepEqual(answer, {makers: ['first'], isWhole: false});
});

test('a full endpoint of the right version is not replaced by one of another', async () => {
	const answer = await play([['v1', breaksAfter(1)], ['v1', rejects], ['v2', goesOn('other')]]);
	assert.deepEqual(answer, {makers: ['first'], isWhole: false});
});

test('endpoints without a version are of one version of their own', async () => {
	const answer = await play([['', breaksAfter(1)], ['v1', goesOn('other')], ['', goesOn('same')]]);
	assert.deepEqual(answer, {makers: ['first', 'same', 'same'], isWhole: true});
});

test('a stream that breaks before its first event may begin at any version', async () => {
	const answer = await play([['v1', breaksAfter(0)], ['v2', goesOn('other')]]);
	assert.deepEqual(answer, {makers: ['other', 'other', 'other'], isWhole: true});
});
