import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
	openSocket, rawRequest, readToEnd, readUntil, statusOf,
} from '../test/raw-http.js';
import {waitUntil} from '../test/wait-until.js';
import {CallerConnections, type ConnectionReport} from './caller-connections.js';
import {defaultListenerBounds, HttpListener} from './http-listener.js';
import {readBody} from './read-body.js';

const maxBodyBytes = 1_000_000;

type Started = {
	address: string;
	reports: ConnectionReport[];
	/** The answers to requests for `/held`, in the order of their arrival. */
	held: ServerResponse[];
	/** The targets of requests in the order in which they were complete. */
	complete: string[];
	/** The targets of requests whose bodies were cut off. */
	cutOff: string[];
	connections: CallerConnections;
	/** Moves the time of the limits on. */
	wait(milliseconds: number): void;
};

async function startListener(t: TestContext, capacity: number): Promise<Started> {
	let later = 0;
	const reports: ConnectionReport[] = [];
	const held: ServerResponse[] = [];
	const complete: string[] = [];
	const cutOff: string[] = [];
	const connections = new CallerConnections(capacity, () => performance.now() + later, {
		onLimited(report) {
			reports.push(report);
		},
		onHeldBack() {
			// The state shows it.
		},
	});
	const listener = new HttpListener('callers', async (request, response) => {
		const body = await readBody(request, maxBodyBytes);
		if (body.isLeft()) {
			cutOff.push(request.url ?? '');
			response.destroy();
			return;
		}

		complete.push(request.url ?? '');
		if (request.url === '/held') {
			held.push(response);
		} else {
			response.end(String(body.unsafeCoerce().length));
		}
	}, '127.0.0.1:0', {...defaultListenerBounds, connections});
	const address = await listener.listen();
	t.after(async () => {
		for (const response of held) {
			response.end();
		}

		await listener.drain();
	});
	return {
		address, reports, held, complete, cutOff, connections, wait(milliseconds) {
			later += milliseconds;
		},
	};
}

const upload = 'POST /upload HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n';

async function openAll(address: string, count: number, bytes: string): Promise<Socket[]> {
	return Promise.all(Array.from({length: count}, async () => {
		const socket = await openSocket(address);
		socket.write(bytes);
		return socket;
	}));
}

async function ask(address: string, target: string): Promise<string> {
	const socket = await openSocket(address);
	const answer = readToEnd(socket);
	socket.write(rawRequest({method: 'GET', path: target, headers: {connection: 'close'}}));
	return answer;
}

for (const [name, bytes, {places, status}] of [
	['bodies', `${upload}half`, {places: 2, status: 503}],
	['heads', 'GET / HTTP/1.1\r\nhost: ', {places: 1, status: 408}],
	['nothing', '', {places: 1, status: 0}],
] as const) {
	test(`connections on which a request stands still make room for others: ${name}`, async t => {
		// Guards against a crowd that stays open and uses up the descriptors, so that nobody else is accepted.
		const crowd = 6;
		const {address, reports, connections, wait} = await startListener(t, crowd * places);
		const sockets = await openAll(address, crowd, bytes);
		const answers = sockets.map(async socket => readToEnd(socket));
		await waitUntil(() => connections.state.held === crowd * places);
		wait(1500);
		assert.equal(statusOf(await ask(address, '/other')), 200);
		assert.ok(reports.length > 0 && reports.every(({outcome}) => outcome === 'arriving-closed'), JSON.stringify(reports));
		const first = await Promise.race(answers);
		assert.equal(statusOf(first), status);
		assert.equal(first.includes('"ran":"not-run"'), status > 0);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

test('a request that was refused for others is neither read on nor left waiting for its body', async t => {
	// Guards against a refused request that runs since the rest of its body arrives, and against its memory staying counted.
	const {address, reports, complete, cutOff, connections, wait} = await startListener(t, 2);
	const [still] = await openAll(address, 1, `${upload}half`);
	const answer = readToEnd(still!);
	await waitUntil(() => connections.state.held === 2);
	wait(1500);
	const other = await openSocket(address);
	still!.write('x'.repeat(96));
	assert.equal(statusOf(await answer), 503);
	await waitUntil(() => cutOff.length === 1);
	assert.deepEqual(reports.map(({outcome}) => outcome), ['arriving-closed']);
	assert.deepEqual(complete, []);
	other.destroy();
});

test('an idle connection makes room for another one after its grace, and after those on which a request stands still', async t => {
	// Guards against idle connections that keep new callers out, and against one that is closed when its caller uses it again.
	const {address, reports, connections, wait} = await startListener(t, 3);
	const idle = await openSocket(address);
	idle.write(rawRequest({method: 'GET', path: '/'}));
	await readUntil(idle, text => text.endsWith('0'));
	const [still] = await openAll(address, 1, `${upload}half`);
	await waitUntil(() => connections.state.held === 3);
	assert.equal(statusOf(await ask(address, '/')), 0);
	wait(3000);
	assert.equal(statusOf(await ask(address, '/')), 200);
	const closed = once(idle, 'close');
	const [held] = await openAll(address, 1, rawRequest({method: 'GET', path: '/held'}));
	await waitUntil(() => connections.state.held === 3);
	assert.equal(statusOf(await ask(address, '/')), 503);
	await closed;
	assert.deepEqual(reports.map(({outcome}) => outcome), ['not-accepted', 'arriving-closed', 'idle-closed', 'request-refused']);
	still!.destroy();
	held!.destroy();
});

test('connections whose requests are served are never closed for others', async t => {
	// Guards against a request that runs and whose caller loses the answer to a crowd.
	const {address, reports, held, wait} = await startListener(t, 4);
	const sockets = await openAll(address, 2, rawRequest({method: 'GET', path: '/held', headers: {connection: 'close'}}));
	const answers = sockets.map(async socket => readToEnd(socket));
	await waitUntil(() => held.length === 2);
	wait(60_000);
	assert.equal(await ask(address, '/'), '');
	assert.deepEqual(reports.map(({outcome}) => outcome), ['not-accepted']);
	for (const response of held) {
		response.end('done');
	}

	for (const answer of answers) {
		assert.match(await answer, /done/v);
	}
});

test('a connection whose earlier request is served stays open although the body of a later one stands still', async t => {
	// Guards against a request that runs and whose caller loses the answer because it has sent half of the next one.
	const {address, reports, held, connections, wait} = await startListener(t, 3);
	const [socket] = await openAll(address, 1, `${rawRequest({method: 'GET', path: '/held'})}${upload}half`);
	const answer = readUntil(socket!, text => text.includes('done'));
	await waitUntil(() => connections.state.held === 3);
	wait(60_000);
	assert.equal(await ask(address, '/'), '');
	assert.deepEqual(reports.map(({outcome}) => outcome), ['not-accepted']);
	held[0]!.end('done');
	assert.match(await answer, /done/v);
	socket!.destroy();
});

test('ordinary requests are read while bodies in very small chunks arrive, and these are served too', async t => {
	// Guards against an event loop that reads the chunks of a few connections for minutes.
	const {address, complete} = await startListener(t, 100);
	const bytes = 50_000;
	const body = `POST /chunks HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`;
	const sockets = await openAll(address, 8, body);
	const answers = sockets.map(async socket => readToEnd(socket));
	assert.equal(statusOf(await ask(address, '/ordinary')), 200);
	assert.ok(!complete.includes('/chunks'), JSON.stringify(complete));
	for (const answer of answers) {
		assert.match(await answer, new RegExp(`${bytes}$`, 'v'));
	}
});
