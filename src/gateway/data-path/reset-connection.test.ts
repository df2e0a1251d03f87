import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {type EndpointCall, HttpEndpointExchanges} from './endpoint-exchange.js';

const testCall: Omit<EndpointCall, 'address'> = {
	method: 'POST', target: '/', rawHeaders: ['host', 'desk.example', 'content-length', '4'], body: Buffer.from('body'), attemptId: 'a1', attemptIdHeader: 'x-attempt-id',
};

async function listen(context: TestContext, onConnection: (socket: Socket) => void): Promise<{server: Server; address: string; exchanges: HttpEndpointExchanges}> {
	const server = createServer(onConnection).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const exchanges = new HttpEndpointExchanges();
	context.after(() => {
		exchanges.close();
		server.close();
	});
	return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, exchanges};
}

test('a request whose new connection was reset before it was written counts as not sent', async context => {
	let accepted: Socket | undefined;
	const {server, address, exchanges} = await listen(context, socket => {
		accepted = socket;
	});
	const {answer} = exchanges.open({
		...testCall,
		address,
		async isStillWanted() {
			if (accepted === undefined) {
				await once(server, 'connection');
			}

			// The reset arrives before the next poll, and the request is written before it is read.
			accepted?.resetAndDestroy();
			return true;
		},
	});
	const answered = await answer;
	const failure = answered.swap().unsafeCoerce();
	assert.equal(failure.kind, 'not-sent', failure.detail);
	assert.equal(failure.isReset, true);
});

test('a request whose kept connection was reset before it was written counts as not sent', async context => {
	let accepted: Socket | undefined;
	const {address, exchanges} = await listen(context, socket => {
		accepted = socket;
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=30\r\n\r\n');
		});
	});
	const first = await exchanges.open({...testCall, address}).answer;
	const {body} = first.unsafeCoerce();
	body.resume();
	await once(body, 'end');
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
	accepted?.resetAndDestroy();
	const second = await exchanges.open({...testCall, address}).answer;
	const failure = second.swap().unsafeCoerce();
	assert.equal(failure.connection, 'kept');
	assert.equal(failure.kind, 'not-sent', failure.detail);
});

test('an idle connection counts as open until its endpoint ends it', async context => {
	let accepted: Socket | undefined;
	const {address, exchanges} = await listen(context, socket => {
		accepted = socket;
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=30\r\n\r\n');
		});
	});
	assert.equal(exchanges.hasOpenConnection(address), false);
	const answer = await exchanges.open({...testCall, address}).answer;
	const {body} = answer.unsafeCoerce();
	const {socket} = body;
	body.resume();
	await once(body, 'end');
	assert.equal(exchanges.hasOpenConnection(address), true);
	accepted?.destroy();
	await once(socket, 'close');
	assert.equal(exchanges.hasOpenConnection(address), false);
});

test('a request to an endpoint that resets new connections is not written before the next reset', async context => {
	const {address, exchanges} = await listen(context, socket => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 3);
	});
	const kinds: string[] = [];
	for (let number = 0; number < 2; number++) {
		const answer = await exchanges.open({...testCall, address}).answer;
		kinds.push(answer.swap().unsafeCoerce().kind);
	}

	assert.deepEqual(kinds, ['unknown', 'not-sent']);
});
