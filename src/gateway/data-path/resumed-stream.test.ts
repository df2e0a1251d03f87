import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const eventText = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;
const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});

async function breakStream(kind: 'stream' | 'resumable-stream', abort: (response: ServerResponse) => void): Promise<{answer: string; resumedAfter: string[]}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
	const resumedAfter: string[] = [];
	let isFirst = true;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		resumedAfter.push(String(incoming.headers[names.lastEventId] ?? 'start'));
		if (isFirst) {
			isFirst = false;
			response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
			response.write(eventText(1) + eventText(2));
			setTimeout(() => {
				abort(response);
			}, 30);
			return;
		}

		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		response.end(eventText(3) + eventText(4));
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	return {answer, resumedAfter};
}

/** The body of a chunked answer, and whether its last chunk came. */
function bodyOf(answer: string): {text: string; isWhole: boolean} {
	const body = answer.slice(answer.indexOf('\r\n\r\n') + 4);
	const text = body.replaceAll(/(?:\r\n)?[\da-f]+\r\n/gv, '');
	return {text: text.replaceAll('\r\n', ''), isWhole: body.endsWith('0\r\n\r\n')};
}

test('a stream that breaks within an event is resumed elsewhere without a duplicate, incomplete or missing event', async () => {
	// The endpoint crashes after half of event 3. Complete events were relayed, the half was held back. Another endpoint
	// continues after event 2; the half must not be sent before its first event.
	const {answer, resumedAfter} = await breakStream('resumable-stream', response => {
		response.write('id: 3\ndata: pie', () => {
			response.destroy();
		});
	});
	assert.equal(statusOf(answer), 200);
	assert.deepEqual(resumedAfter, ['start', '2']);
	assert.deepEqual(bodyOf(answer), {text: [1, 2, 3, 4].map(id => eventText(id)).join(''), isWhole: true});
});

test('a stream that may not be resumed ends visibly incomplete', async () => {
	const {answer, resumedAfter} = await breakStream('stream', response => {
		response.destroy();
	});
	assert.deepEqual(resumedAfter, ['start']);
	assert.equal(bodyOf(answer).isWhole, false);
});

test('a failure in answer to a resumption is not appended to the events that were relayed', async () => {
	// The first endpoint fails, and the second one answers the resumed request with an error page. The caller has half of a
	// stream and must see it end incomplete, not with the bytes of an error page.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream'})]})).start();
	let isFirst = true;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		if (isFirst) {
			isFirst = false;
			response.writeHead(200, sealedHeaders(incoming));
			response.write(eventText(1), () => {
				response.destroy();
			});
			return;
		}

		response.writeHead(404, sealedHeaders(incoming));
		response.end('no such stream');
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.ok(!answer.includes('no such stream'));
	assert.equal(bodyOf(answer).isWhole, false);
});

test('a stream whose events have no ids is not started again after events that were relayed', async () => {
	// Guards against a complete stream with the first event twice. 1. The endpoint fails after an event without an id. 2. The
	// request is sent to another endpoint to be resumed, but without an id there is no position to resume from. 3. The other
	// endpoint starts over, and its events are appended to those of the first one.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream'})]})).start();
	let isFirst = true;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		response.writeHead(200, sealedHeaders(incoming));
		if (isFirst) {
			isFirst = false;
			response.write('data: piece 1\n\n', () => {
				response.destroy();
			});
			return;
		}

		response.end('data: piece 1\n\ndata: piece 2\n\n');
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	const {text, isWhole} = bodyOf(answer);
	assert.equal(text.split('piece 1').length - 1, 1, answer);
	assert.equal(isWhole, false);
});

test('events are not appended to an incomplete failure', async () => {
	// The first endpoint fails within an error page. If the request were resumed elsewhere, the caller would get the head and
	// half of the body of an error, followed by the events of a success and the end of a complete answer.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream'})]})).start();
	let isFirst = true;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		if (isFirst) {
			isFirst = false;
			response.writeHead(404, sealedHeaders(incoming));
			response.write('half of a page', () => {
				response.destroy();
			});
			return;
		}

		response.writeHead(200, sealedHeaders(incoming));
		response.end(eventText(1));
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	await gateway.close();
	assert.ok(!answer.includes('piece'), answer);
	assert.equal(bodyOf(answer).isWhole, false);
});

for (const {kind, contentType} of [
	{kind: 'stream', contentType: 'text/event-stream'},
	{kind: 'stream', contentType: 'Text/Event-Stream; charset=utf-8'},
	{kind: 'resumable-stream', contentType: 'text/event-stream'},
] as const) {
	test(`a ${kind} of ${contentType} without a length that is closed in order within an event is incomplete`, async () => {
		// The endpoint's process dies, and its host closes the connection in order after half of event 3. Only the end of the
		// connection marks the end of the stream, so it looks complete, but an event without its empty line is incomplete. The
		// caller would take three events for the whole stream, the last of them incomplete.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
		let isFirst = true;
		const play = (incoming: IncomingMessage, response: ServerResponse): void => {
			const head = Object.entries({...sealedHeaders(incoming), 'content-type': contentType, connection: 'close'});
			const events = isFirst ? `${eventText(1)}${eventText(2)}id: 3\ndata: pie` : eventText(3) + eventText(4);
			isFirst = false;
			response.socket!.end(`HTTP/1.1 200 OK\r\n${head.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${events}`);
		};

		await gateway.addEndpoint(play);
		await gateway.addEndpoint(play);
		const answer = await exchangeRaw(gateway.address, request);
		await gateway.close();
		const {text, isWhole} = bodyOf(answer);
		assert.equal(isWhole, kind === 'resumable-stream', answer);
		if (isWhole) {
			assert.equal(text, [1, 2, 3, 4].map(id => eventText(id)).join(''));
		}
	});
}
