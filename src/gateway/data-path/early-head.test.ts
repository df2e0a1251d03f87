import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {type EndpointBehaviour, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const timeoutMilliseconds = 6000;
const silenceMilliseconds = 2600;

function writeHead(incoming: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
	response.flushHeaders();
}

const goOnAfterSilence: EndpointBehaviour = async (incoming, response) => {
	writeHead(incoming, response);
	response.write('id: 1\ndata: event 1\n\nid: 2\nda');
	await pause(silenceMilliseconds);
	response.end('ta: event 2\n\n');
};

const replacements: Record<string, EndpointBehaviour> = {
	'and no event': writeHead,
	async 'and breaks its connection'(incoming, response) {
		writeHead(incoming, response);
		await pause(300);
		response.destroy();
	},
};

for (const [what, replace] of Object.entries(replacements)) {
	test(`a stream of a silent endpoint that goes on is not lost because the other one sends its head early ${what}`, async () => {
		// Guards against the head of an answer being taken for its first event.
		const route = testRoute({
			kind: 'resumable-stream', carriesPrompt: true, timeoutMilliseconds, maxAttempts: 2, maxEventGapMilliseconds: 400,
		});
		const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
		const inTurn = [goOnAfterSilence, replace].values();
		for (const name of ['engine-0', 'engine-1']) {
			await gateway.addEndpoint(async (incoming, response) => inTurn.next().value!(incoming, response), {name});
		}

		const answer = await exchangeRaw(gateway.address, rawRequest({
			method: 'POST', path: '/', headers: {
				host: 'quay.example',
				[names.attemptId]: 'a1',
				[names.deadline]: String(timeoutMilliseconds),
				[names.model]: 'lease',
				[names.tokenCount]: '100,10',
				[names.promptParts]: 'ab:100',
				connection: 'close',
			}, body: 'x',
		}));
		await gateway.close();
		assert.match(answer, /data: event 2\n[\s\S]*0\r\n\r\n$/v, JSON.stringify(gateway.lines));
	});
}
