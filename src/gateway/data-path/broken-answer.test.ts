import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {openSocket, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const post = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});
const sealed = `${names.attemptId}: a1\r\n${names.seal}: s\r\n`;

/** The bytes that the caller of one request gets, and whether its connection was reset. */
async function answerTo(request: string, play: (socket: Socket) => void, kind: RouteKind = 'non-idempotent'): Promise<{text: string; wasReset: boolean}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
	await gateway.addEndpoint((_request: IncomingMessage, response: ServerResponse) => {
		play(response.socket!);
	});
	const caller = await openSocket(gateway.address);
	let text = '';
	let wasReset = false;
	caller.setEncoding('utf8').on('data', chunk => {
		text += String(chunk);
	}).on('error', () => {
		wasReset = true;
	});
	caller.write(request);
	await new Promise(resolve => {
		caller.once('close', resolve);
	});
	await gateway.close();
	return {text, wasReset};
}

function resetAfter(bytes: string): (socket: Socket) => void {
	return socket => {
		socket.write(bytes, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	};
}

const brokenAnswers = [
	{name: 'without a length that is reset', play: resetAfter(`HTTP/1.1 200 OK\r\n${sealed}connection: close\r\n\r\nhalf`)},
	{name: 'in chunks without the last chunk', play: resetAfter(`HTTP/1.1 200 OK\r\n${sealed}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`)},
	{name: 'in chunks whose trailer is cut', play: resetAfter(`HTTP/1.1 200 OK\r\n${sealed}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nx-sum: 1`)},
	{name: 'that is a failure without a length and is reset', play: resetAfter(`HTTP/1.1 500 Internal Server Error\r\n${sealed}connection: close\r\n\r\nhalf`)},
];

for (const {name, play} of brokenAnswers) {
	test(`an HTTP/1.1 caller sees that an answer ${name} is incomplete`, async () => {
		// The endpoint fails within its answer. The caller is answered in chunks and must not get the last one.
		const {text} = await answerTo(post, play);
		assert.match(text, /half/v);
		assert.ok(!text.endsWith('0\r\n\r\n'), text);
	});

	test(`an HTTP/1.0 caller sees that an answer ${name} is incomplete`, async () => {
		// HTTP/1.0 has no chunks, so a complete answer ends with the caller's connection. If the gateway closes that connection
		// in order after the endpoint has failed, half of an answer looks complete.
		const {text, wasReset} = await answerTo(post.replace('HTTP/1.1', 'HTTP/1.0'), play);
		assert.match(text, /half/v);
		assert.equal(wasReset, true, text);
	});
}

test('a resumable stream without a length that is reset and cannot be resumed does not look complete', async () => {
	// The endpoint's host dies after one and a half events. There is no other endpoint to resume the stream.
	const {text} = await answerTo(post, resetAfter(`HTTP/1.1 200 OK\r\n${sealed}content-type: text/event-stream\r\nconnection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\nda`), 'resumable-stream');
	assert.match(text, /data: a/v);
	assert.ok(!text.includes('id: 2') && !text.endsWith('0\r\n\r\n'), text);
});

test('an answer shorter than its length does not look complete on the caller\'s connection', async () => {
	// The endpoint states ten bytes, sends four and closes in order. The caller gets chunks without the last one.
	const {text} = await answerTo(post, socket => {
		socket.end(`HTTP/1.1 200 OK\r\n${sealed}content-length: 10\r\n\r\nhalf`);
	});
	assert.match(text, /transfer-encoding: chunked\r\n(?:[^\r]+\r\n)*\r\n4\r\nhalf\r\n$/iv);
	assert.ok(!/content-length/iv.test(text), text);
});

test('an answer shorter than its length does not look complete to an HTTP/1.0 caller', async () => {
	// The endpoint states ten bytes, sends four and closes in order. The head that the caller got states ten bytes as well.
	const {text} = await answerTo(post.replace('HTTP/1.1', 'HTTP/1.0'), socket => {
		socket.end(`HTTP/1.1 200 OK\r\n${sealed}content-length: 10\r\n\r\nhalf`);
	});
	assert.match(text, /content-length: 10\r\n[\s\S]*half$/v);
});

test('an answer that arrives in one piece keeps its length', async () => {
	// Guards against chunks where no silence can occur within the answer.
	const {text} = await answerTo(post, socket => {
		socket.end(`HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\nwhole`);
	});
	assert.match(text, /content-length: 5\r\n[\s\S]*\r\n\r\nwhole$/v);
});

test('an answer whose transfer coding only looks like chunked and that is reset is incomplete', async () => {
	// Guards against half of an answer that ends as a complete one:
	// 1. The endpoint names a coding that is `chunked` after a no-break space. The parser reads it as another coding, so the
	//    answer ends with its connection. 2. The endpoint's host dies. 3. The end that Node reports after the reset is taken
	//    for a last chunk.
	const {text} = await answerTo(post, socket => {
		socket.write(Buffer.from(`HTTP/1.1 200 OK\r\n${sealed}transfer-encoding: \u00A0chunked\r\n\r\nhalf`, 'latin1'), () => {
			socket.resetAndDestroy();
		});
	});
	assert.ok(!text.endsWith('0\r\n\r\n'), text);
});

test('an answer with both a length and chunks is not relayed', async () => {
	// The two framings contradict each other; a caller that uses the other one would see another end.
	const {text} = await answerTo(post, socket => {
		socket.end(`HTTP/1.1 200 OK\r\n${sealed}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n`);
	});
	assert.match(text, /^HTTP\/1\.1 502/v);
});

test('an answer that is complete by its length stays complete if its connection is reset afterwards', async () => {
	// The endpoint's host dies right after the last byte of an answer with a length: all that it promised has arrived.
	const {text} = await answerTo(post, socket => {
		socket.write(`HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\n\r\nwhole`, () => {
			socket.resetAndDestroy();
		});
	});
	assert.match(text, /whole$/v);
});

for (const status of [204, 304]) {
	test(`an answer with status ${status} has no body and is complete after its head`, async () => {
		const {text} = await answerTo(post, socket => {
			socket.write(`HTTP/1.1 ${status} Fine\r\n${sealed}\r\n`);
		});
		assert.match(text, new RegExp(String.raw`^HTTP/1.1 ${status} Fine\r\n[\s\S]*\r\n\r\n$`, 'v'));
	});
}

test('a final answer that is reset is incomplete even after an interim answer', async () => {
	// Status 103 is followed by the final head; only the body of the final answer counts.
	const {text} = await answerTo(post, resetAfter(`HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n${sealed}connection: close\r\n\r\nhalf`));
	assert.ok(text.includes('half') && !text.endsWith('0\r\n\r\n'), text);
});
