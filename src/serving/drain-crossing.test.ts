import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {readUntil} from '../test/raw-http.js';
import {waitUntil} from '../test/wait-until.js';
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
