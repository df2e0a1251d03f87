import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Buffer} from 'node:buffer';
import {HttpEndpointExchanges, type EndpointAnswer} from './endpoint-exchange.js';
import {type ConnectionEnd} from './answer-transfer.js';
import {isClosedInOrder} from './is-closed-in-order.js';

const head = 'HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nconnection: close\r\n\r\n';

/** Starts an endpoint that sends a head and the first bytes; the test sends the last bytes and ends the connection. */
async function openAnswer(context: TestContext): Promise<{answer: EndpointAnswer; endpointSocket: Socket}> {
	let endpointSocket: Socket | undefined;
	const server = createServer(socket => {
		endpointSocket = socket;
		socket.once('data', () => {
			socket.write(`${head}first`);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const exchanges = new HttpEndpointExchanges();
	context.after(() => {
		exchanges.close();
		endpointSocket?.destroy();
		server.close();
	});
	const address = server.address();
	assert.ok(typeof address === 'object' && address !== null);
	const answer = await exchanges.open({
		address: `127.0.0.1:${address.port}`, method: 'GET', target: '/', rawHeaders: ['host', 'desk.example'], body: Buffer.alloc(0), attemptId: 'a1', attemptIdHeader: 'x-attempt-id',
	}).answer;
	return {answer: answer.unsafeCoerce(), endpointSocket: endpointSocket!};
}

async function readToClose({body, connectionEnd}: EndpointAnswer): Promise<ConnectionEnd> {
	body.on('error', () => undefined).resume();
	if (!body.closed) {
		await once(body, 'close');
	}

	return connectionEnd();
}

for (const {name, end, expected} of [
	{name: 'reset', end: (socket: Socket) => socket.resetAndDestroy(), expected: 'reset'},
	{name: 'closed in order', end: (socket: Socket) => socket.end(), expected: 'in-order'},
]) {
	test(`a connection that is ${name} after its last bytes is recognised as such, even if its peer's address was read before`, async context => {
		// Guards against half of an answer that looks complete. The endpoint's host resets the connection together with the last
		// bytes, which Node reports as an ordinary end. Node caches the peer's address: once a log line, an inspector or an
		// earlier request on the connection has read it, it no longer shows the present state of the connection.
		const {answer, endpointSocket} = await openAnswer(context);
		assert.equal(answer.body.socket.remoteAddress, '127.0.0.1');
		await pause(5);
		endpointSocket.write('last', () => {
			end(endpointSocket);
		});
		assert.equal(await readToClose(answer), expected);
	});
}

test('a connection that the operating system cannot be queried about does not count as closed in order', () => {
	assert.equal(isClosedInOrder(new Socket()), false);
});
