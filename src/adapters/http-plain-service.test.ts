import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {HttpPlainService} from './http-plain-service.js';

test('a call that may not be repeated never meets a kept connection that the service is closing', async t => {
	// The service closes a kept connection at the moment when its second request arrives, as servers do with idle ones.
	// On a kept connection the caller of the second booking would be told "unknown", although the booking never ran.
	const seen = new WeakMap<Socket, number>();
	const server = createServer((request, response) => {
		const requests = (seen.get(request.socket) ?? 0) + 1;
		seen.set(request.socket, requests);
		if (requests > 1) {
			request.socket.destroy();
			return;
		}

		response.end('{}');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const service = new HttpPlainService();
	for (let count = 0; count < 5; count++) {
		const answer = await service.call(address, {
			method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}'), requestId: String(count),
		}, new AbortController().signal);
		assert.equal(answer.map(({status}) => status).extract(), 200);
	}
});

test('a service that cannot be reached was not sent the call', async () => {
	const answer = await new HttpPlainService().call('127.0.0.1:1', {
		method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}'), requestId: 'r',
	}, new AbortController().signal);
	assert.equal((answer.extract() as {kind: string}).kind, 'not-sent');
});
