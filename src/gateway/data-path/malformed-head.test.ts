import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, type EndpointBehaviour, TestGateway} from '../testing/test-gateway.js';
import {relayAnswer} from './relay-answer.js';
import {ownWireNames as names} from './wire-names.js';

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '1000', connection: 'close',
	}, body: 'x',
});

/** The status that a caller gets if the first endpoint answers with a given head, and the second one with a valid answer. */
async function statusAfter(statusLine: string, header: string, kind: RouteKind): Promise<number> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
	let isFirst = true;
	const play: EndpointBehaviour = (request, response) => {
		if (isFirst) {
			isFirst = false;
			response.socket!.write(Buffer.from(`HTTP/1.1 ${statusLine}\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\n${header}content-length: 2\r\n\r\nok`, 'latin1'));
			return;
		}

		answerSealed(request, response);
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, post);
	await gateway.close();
	return statusOf(answer);
}

for (const {name, statusLine, header = ''} of [
	{name: 'the status 000', statusLine: '000 X'},
	{name: 'the status 099', statusLine: '099 X'},
	{name: 'the status 600', statusLine: '600 X'},
	{name: 'a control character in the reason', statusLine: '200 O\u0001K'},
	{name: 'a DEL in the reason', statusLine: '404 O\u007FK'},
	{name: 'a control character in the reason of a failure', statusLine: '500 O\u0001K'},
	{name: 'a control character in a header', statusLine: '200 OK', header: 'x-note: a\u0001b\r\n'},
	{name: 'a DEL in a header', statusLine: '200 OK', header: 'x-note: a\u007Fb\r\n'},
]) {
	test(`an answer with ${name} fails only its own attempt`, async () => {
		// Guards against the end of the process, at which all callers of the instance lose their connections:
		// 1. An endpoint answers with a head that Node's parser accepts. 2. Node refuses to write the same head to the caller,
		// with an exception in a listener of the body, where nothing catches it.
		assert.equal(await statusAfter(statusLine, header, 'non-idempotent'), 502);
		assert.equal(await statusAfter(statusLine, header, 'idempotent'), 200);
	});
}

test('a reason phrase and a header with letters outside ASCII are forwarded', async () => {
	assert.equal(await statusAfter('200 \u00E9t\u00E9', 'x-note: \u00E9\t\u0080\r\n', 'non-idempotent'), 200);
});

test('a head that cannot be written ends the relay as cut, and another answer can still be sent', async () => {
	// Guards against the end of the process, and against a replacement answer that fails in the same way:
	// 1. Writing the head throws in a listener of the body. 2. Node keeps the refused reason phrase for the next head.
	const body = new IncomingMessage(new Socket());
	const response = new ServerResponse(new IncomingMessage(new Socket()));
	const faults: unknown[] = [];
	const relayed = relayAnswer({
		answer: {
			status: 200, statusText: 'O\u0001K', rawHeaders: [], body, framing: 'length', connection: 'new', header: () => undefined, connectionEnd: () => 'open', discard: () => undefined,
		},
		response,
		splitter: undefined,
		onFirstBytes() {
			// Not used in this test.
		},
		onBytes() {
			// Not used in this test.
		},
		onFault(error) {
			faults.push(error);
		},
	});
	body.push('ok');
	const {outcome} = await relayed;
	assert.equal(outcome, 'cut');
	assert.equal(faults.length, 1);
	response.writeHead(502);
	assert.equal(response.statusMessage, 'Bad Gateway');
});
