import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {HttpPlainService} from './http-plain-service.js';

test('a non-idempotent call never uses an idle connection, which the service may be closing', async t => {
	// The service closes a reused connection when the second request on it arrives, as servers do with idle connections. If
	// the second booking were sent on it, its outcome would be unknown to the caller, although the booking never ran.
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

test('a call to an unreachable service fails as not sent', async () => {
	const answer = await new HttpPlainService().call('127.0.0.1:1', {
		method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}'), requestId: 'r',
	}, new AbortController().signal);
	assert.equal((answer.extract() as {kind: string}).kind, 'not-sent');
});

test('an unframed answer is never accepted as complete, however its connection ends', async t => {
	// Guards against a caller that receives a 200 with half of the answer, framed as complete. The service sends a head
	// without Content-Length, then half of the body, and fails; its connection is reset or closed. undici reports the body as
	// complete in both cases, even where Node reports the reset, since only the end of the connection ends such a body.
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
		test(`a truncated answer with ${framing} is a failure, and a complete one is returned: ${ending}`, async t => {
			// The length or the last chunk marks the end of the body, so the way the connection ends after it does not matter.
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

test('an answer without a body by its status or method needs no Content-Length', async t => {
	const noContent = await startEndingServer(t, 'HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n', 'closed');
	const headOnly = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', 'closed');
	for (const [address, method, status] of [[noContent, 'DELETE', 204], [headOnly, 'HEAD', 200]] as const) {
		const answer = await new HttpPlainService().call(address, {
			method, path: '/orders/1', headers: {}, body: Buffer.alloc(0), requestId: 'r',
		}, new AbortController().signal);
		assert.equal(answer.map(found => found.status).extract(), status);
	}
});
