import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {nextTick} from 'node:process';
import {test, type TestContext} from 'node:test';
import {type EndpointCall, HttpEndpointExchanges} from './endpoint-exchange.js';

async function listen(context: TestContext, listener: RequestListener): Promise<Server> {
	const server = createServer(listener).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return server;
}

const testCall: Omit<EndpointCall, 'address'> = {
	method: 'GET', target: '/', rawHeaders: ['host', 'desk.example'], body: Buffer.alloc(0), attemptId: 'a1', attemptIdHeader: 'x-attempt-id',
};

function callTo(server: Server): EndpointCall {
	const {port} = server.address() as AddressInfo;
	return {...testCall, address: `127.0.0.1:${port}`};
}

test('a request whose connection fails at once, as without a route to the endpoint, counts as not sent', async context => {
	const exchanges = new HttpEndpointExchanges();
	context.after(() => {
		exchanges.close();
	});
	const answer = await exchanges.open({...testCall, address: '255.255.255.255:1'}).answer;
	assert.equal(answer.swap().unsafeCoerce().kind, 'not-sent');
});

test('a connection that is reused many times accumulates no listeners', async context => {
	// Each answer leaves the connection idle until the next request reuses it. The listeners for the idle time must be removed
	// then: connections live for hours, and each reuse would leak a listener.
	const server = await listen(context, (_request, response) => {
		response.setHeader('keep-alive', 'timeout=30').end('whole');
	});
	const exchanges = new HttpEndpointExchanges();
	context.after(() => {
		exchanges.close();
	});
	const sockets = new Set<Socket>();
	let errorListeners = 0;
	let endListeners = 0;
	for (let use = 0; use < 20; use++) {
		const answer = await exchanges.open(callTo(server)).answer;
		const {body} = answer.unsafeCoerce();
		const {socket} = body;
		sockets.add(socket);
		errorListeners = socket.listenerCount('error');
		endListeners = socket.listenerCount('end');
		body.resume();
		await once(body, 'end');
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}

	assert.equal(sockets.size, 1);
	assert.ok(errorListeners <= 3, `${errorListeners} error listeners after 20 uses`);
	assert.ok(endListeners <= 4, `${endListeners} listeners for the end after 20 uses`);
});

test('a process that was paused does not take its endpoints for unreachable', async context => {
	// The connection is established within a millisecond, while the process is paused for longer than the connect timeout.
	// When the process resumes, the timer and the `connect` event are due together.
	const server = await listen(context, (_request, response) => {
		response.end('whole');
	});
	const exchanges = new HttpEndpointExchanges();
	context.after(() => {
		exchanges.close();
	});
	const {answer} = exchanges.open(callTo(server));
	for (let tick = 0; tick < 5; tick++) {
		await new Promise<void>(resolve => {
			nextTick(resolve);
		});
	}

	const until = performance.now() + 400;
	while (performance.now() < until) {
		// Blocks the event loop.
	}

	const ended = await answer;
	assert.equal(ended.isRight(), true, ended.isLeft() ? ended.extract().detail : undefined);
	ended.ifRight(({body}) => {
		body.resume();
	});
});
