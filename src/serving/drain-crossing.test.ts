import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {readUntil} from '../test/raw-http.js';
import {completeAnswers} from '../test/steered-caller.js';
import {waitUntil} from '../test/wait-until.js';
import {afterNextPoll} from './after-next-poll.js';
import {HttpListener} from './http-listener.js';

const requestBytes = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

/** Connects a caller that has sent its request when it reads that the connection has ended. */
async function connectCaller(address: string): Promise<Socket> {
	const separator = address.lastIndexOf(':');
	const caller = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), allowHalfOpen: true});
	await once(caller, 'connect');
	return caller;
}

for (const [name, sentBefore] of [
	['that crosses the end of its connection', ''],
	['whose head is half read when its connection ends', requestBytes.slice(0, 9)],
] as const) {
	test(`a request ${name} in a drain is not handled`, async () => {
		// Guards against requests that run although their answers can no longer be sent.
		const responses: ServerResponse[] = [];
		const listener = new HttpListener('front', (_request, response) => {
			responses.push(response);
		}, '127.0.0.1:0');
		const caller = await connectCaller(await listener.listen());
		caller.write(requestBytes + sentBefore);
		await waitUntil(() => responses.length === 1);
		// The head of the answer is sent, so it can no longer announce the close.
		responses[0]?.writeHead(200, {'content-length': 5});
		responses[0]?.write('fir');
		await readUntil(caller, text => text.endsWith('fir'));
		const drained = listener.drain();
		responses[0]?.end('st');
		await waitUntil(() => responses[0]?.closed === true);
		caller.end(requestBytes.slice(sentBefore.length));
		caller.resume();
		await waitUntil(() => responses.length > 1 || caller.closed);
		const handled = responses.length;
		caller.destroy();
		await drained;
		assert.equal(handled, 1);
	});
}

test('a request that crosses the close of its connection in a drain is not handled', async () => {
	// Guards against requests that are sent on, and whose connection then ends without an answer.
	const responses: ServerResponse[] = [];
	const listener = new HttpListener('front', (_request, response) => {
		responses.push(response);
		response.writeHead(200);
		response.write('part');
	}, '127.0.0.1:0');
	const address = await listener.listen();
	const [host = '', port = ''] = address.split(':');
	const caller = connect({host, port: Number(port), allowHalfOpen: true});
	let received = '';
	caller.setEncoding('utf8').on('data', (chunk: string) => {
		received += chunk;
	});
	caller.write(requestBytes);
	await waitUntil(() => responses.length === 1);
	const drained = listener.drain();
	await afterNextPoll();
	responses[0]?.end();
	// A caller that has not read the close yet sends its next request like this one.
	await once(caller, 'end');
	caller.end(requestBytes);
	await drained;
	assert.equal(responses.length, 1);
	assert.equal(completeAnswers(received).length, 1);
});
