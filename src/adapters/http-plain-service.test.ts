import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
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

test('an answer without a length or chunks is never taken for whole, however its connection ends', async t => {
	// The caller gets a 200 with half of the answer, framed as complete. The service sends a head without a length, then
	// half of the body, and dies; its connection is reset or closed. undici gives the body as complete in each case, also
	// where Node reports the reset, since only the end of the connection ends such a body.
	const half = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{"orders": [1, 2, 3';
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		const address = await startEndingServer(t, half, ending);
		for (let count = 0; count < 100; count++) {
			for (const method of ['GET', 'POST']) {
				const answer = await new HttpPlainService().call(address, {
					method, path: '/orders', headers: {}, body: Buffer.alloc(0), requestId: String(count),
				}, new AbortController().signal);
				const outcome = answer.caseOf({Left: ({kind}) => kind, Right: () => 'whole'});
				outcomes.add(`${ending}: ${outcome}`);
			}
		}
	}

	assert.deepEqual([...outcomes], connectionEndings.map(ending => `${ending}: outcome-unknown`));
});

for (const [framing, head] of [['a length', 'content-length: 5\r\n'], ['chunks', 'transfer-encoding: chunked\r\n']] as const) {
	for (const ending of connectionEndings) {
		test(`half of an answer with ${framing} is a failure, and a whole one is passed on: ${ending}`, async t => {
			// The length or the last chunk proves the end of the body, so how the connection ends behind it says nothing.
			const call = {
				method: 'GET', path: '/orders', headers: {}, body: Buffer.alloc(0), requestId: 'r',
			};
			const isChunked = framing === 'chunks';
			const whole = `HTTP/1.1 200 OK\r\nconnection: close\r\n${head}\r\n${isChunked ? '5\r\nwhole\r\n0\r\n\r\n' : 'whole'}`;
			const cut = isChunked ? '0\r\n\r\n'.length : 'le'.length;
			const addresses = [await startEndingServer(t, whole, ending), await startEndingServer(t, whole.slice(0, -cut), ending)] as const;
			for (let count = 0; count < 100; count++) {
				const [passedOn, half] = await Promise.all(addresses.map(async address => new HttpPlainService().call(address, call, new AbortController().signal)));
				assert.equal(passedOn!.map(({body}) => String(body)).extract(), 'whole');
				assert.equal((half!.extract() as {kind: string}).kind, 'outcome-unknown');
			}
		});
	}
}

test('an answer that has no body by its status or method needs no length', async t => {
	const noContent = await startEndingServer(t, 'HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n', 'closed');
	const headOnly = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', 'closed');
	for (const [address, method, status] of [[noContent, 'DELETE', 204], [headOnly, 'HEAD', 200]] as const) {
		const answer = await new HttpPlainService().call(address, {
			method, path: '/orders/1', headers: {}, body: Buffer.alloc(0), requestId: 'r',
		}, new AbortController().signal);
		assert.equal(answer.map(found => found.status).extract(), status);
	}
});
