import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type PaceReport} from '../../decision/pace/pace-report.js';
import {type CrowdedService, type ServiceDemand} from '../../decision/shares/service-demand.js';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {blockEventLoop} from '../../test/separate-callers.js';
import {type StreamPeerQuery} from '../streams/stream-peer-list.js';
import {testCoordinatorSource as source} from '../testing/test-coordinator-source.js';
import {CoordinatorServer, type CoordinatorSource} from './coordinator-server.js';
import {type FollowerFrame, type CoordinatorFrame, emptyQuery} from './coordinator-messages.js';

async function freePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

async function follow(port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	return socket;
}

function send(socket: Socket, frame: FollowerFrame): void {
	socket.write(encodeFrame(frame));
}

test('the loads of an instance are removed when its connection becomes idle', async () => {
	// Guards against endpoints that look busy, and get no requests, because an instance that lost its power or was cut off
	// closes no connection.
	const port = await freePort();
	const server = new CoordinatorServer(`127.0.0.1:${port}`, source, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const idle = await follow(port);
	const asking = await follow(port);
	let loads: Record<string, number[]> = {};
	const reader = new FrameReader();
	asking.on('data', bytes => {
		for (const frame of reader.read(bytes).unsafeCoerce() as CoordinatorFrame[]) {
			loads = frame.loads;
		}
	});
	send(idle, {
		kind: 'tell', instance: 'silent', cores: 1, uses: [], loads: {engine: [7, 100, 0, 0, 0, 0, 0]},
	});
	const sendQueries = async (count: number): Promise<void> => {
		for (let number = 0; number < count; number++) {
			send(asking, {
				kind: 'ask', number, instance: 'asking', cores: 1, uses: [], loads: {}, about: {...emptyQuery, endpoints: ['engine']}, places: {},
			});
			await pause(100);
		}
	};

	await sendQueries(3);
	assert.equal(loads.engine?.[0], 7);
	await sendQueries(25);
	const isClosed = idle.destroyed || idle.readableEnded;
	idle.destroy();
	asking.destroy();
	stop.abort();
	assert.equal(loads.engine?.[0], 0);
	assert.equal(isClosed, true);
});

/** Followers that send five queries a second, and report the end of a connection. */
const followersProgram = `
	const {parentPort, workerData: {port, bytes, count}} = require('node:worker_threads');
	const {connect} = require('node:net');
	for (let index = 0; index < count; index++) {
		const socket = connect(port, '127.0.0.1', () => {
			setInterval(() => socket.write(bytes), 200);
		});
		socket.resume().on('error', () => {}).on('close', () => parentPort.postMessage('closed'));
	}
`;

test('a coordinator that was paused keeps its followers', async context => {
	// Guards against a pause after which all instances lose their view of each other, although what they sent meanwhile waits
	// in their sockets.
	const port = await freePort();
	const server = new CoordinatorServer(`127.0.0.1:${port}`, source, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const bytes = encodeFrame({
		kind: 'ask', number: 1, instance: 'asking', cores: 1, uses: [], loads: {}, about: emptyQuery, places: {},
	});
	const followers = new Worker(followersProgram, {eval: true, workerData: {port, bytes, count: 8}});
	context.after(async () => {
		stop.abort();
		await followers.terminate();
	});
	let closed = 0;
	followers.on('message', () => {
		closed++;
	});
	await pause(600);
	blockEventLoop(2000);
	await pause(600);
	assert.equal(closed, 0);
});

test('a coordinator grants no permit that its successor may grant too, and none that a former term left unused', async context => {
	const port = await freePort();
	let term: number | undefined = 1;
	const server = new CoordinatorServer(`127.0.0.1:${port}`, {...source, permitTerm: () => term}, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const follower = await follow(port);
	context.after(() => {
		follower.destroy();
		stop.abort();
	});
	const reader = new FrameReader();
	const ask = async (number: number): Promise<string | undefined> => {
		send(follower, {
			kind: 'ask', number, instance: 'i1', cores: 1, uses: [], loads: {}, about: emptyQuery, places: {}, permit: {incarnation: 'desk-1@1', limitPerSecond: 1000, answeredMilliseconds: 0},
		});
		const [bytes] = await once(follower, 'data') as [Uint8Array];
		const [answer] = reader.read(Buffer.from(bytes)).unsafeCoerce() as CoordinatorFrame[];
		return answer?.permit;
	};

	assert.equal(await ask(1), 'denied', 'a new coordinator starts without permits');
	await pause(20);
	assert.equal(await ask(2), 'granted');
	term = undefined;
	assert.equal(await ask(3), undefined);
	term = 3;
	assert.equal(await ask(4), 'denied');
});

test('followers get the instances of their data centre that know where streams began, and an older follower none', async context => {
	const port = await freePort();
	const server = new CoordinatorServer(`127.0.0.1:${port}`, source, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const ask = async (socket: Socket, instance: string, streamPeers?: StreamPeerQuery): Promise<CoordinatorFrame> => {
		const reader = new FrameReader();
		const answered = once(socket, 'data') as Promise<[Buffer]>;
		send(socket, {
			kind: 'ask', number: 1, instance, cores: 1, uses: [], loads: {}, about: emptyQuery, places: {}, ...(streamPeers === undefined ? {} : {streamPeers}),
		});
		const [bytes] = await answered;
		return reader.read(bytes).unsafeCoerce()[0] as CoordinatorFrame;
	};

	const [first, second, older] = [await follow(port), await follow(port), await follow(port)];
	context.after(() => {
		stop.abort();
		for (const socket of [first, second, older]) {
			socket.destroy();
		}
	});
	const query = {dataCentre: 'split', digest: ''};
	await ask(first, 'first', {...query, address: 'a:1'});
	assert.equal('streamPeers' in await ask(older, 'older'), false);
	send(first, {
		kind: 'tell', instance: 'first', cores: 1, uses: [], loads: {},
	});
	await pause(350);
	const {streamPeers} = await ask(second, 'second', {...query, address: 'b:1'});
	assert.deepEqual(streamPeers?.addresses, ['a:1', 'b:1'], 'also of a follower whose later frames do not name it');
	const confirmed = await ask(second, 'second', {...query, address: 'b:1', digest: streamPeers.digest});
	assert.deepEqual(confirmed.streamPeers, {digest: streamPeers.digest});
});

test('the coordinator passes on paces that it was told, and answers have no such field where it was told none', async context => {
	// Guards against bytes in each frame of a deployment whose endpoints report no pace.
	const port = await freePort();
	const server = new CoordinatorServer(`127.0.0.1:${port}`, source, systemMomentClock);
	const stop = new AbortController();
	context.after(() => {
		stop.abort();
	});
	void server.run(stop.signal);
	await pause(50);
	const [telling, asking] = [await follow(port), await follow(port)];
	const answers: CoordinatorFrame[] = [];
	const reader = new FrameReader();
	asking.on('data', bytes => {
		answers.push(...reader.read(bytes).unsafeCoerce() as CoordinatorFrame[]);
	});
	const report = {cores: 1, uses: [], loads: {}};
	for (const paces of [undefined, [['e2', 7, 250, 0]] as PaceReport[]]) {
		send(telling, {
			kind: 'tell', instance: 'telling', ...report, ...(paces === undefined ? {} : {paces}),
		});
		await pause(50);
		send(asking, {
			kind: 'ask', number: 1, instance: 'asking', ...report, about: {...emptyQuery, endpoints: ['e1', 'e2']}, places: {},
		});
		await pause(50);
	}

	assert.equal('paces' in answers[0]!, false);
	assert.deepEqual(answers[1]!.paces?.slice(0, 3), [1, 7, 250]);
});

test('the coordinator takes the demand that it was told, also while its lease has lapsed, and answers have no such field without shares or congestion', async context => {
	// Guards against bytes in each frame of a deployment that enables no shares.
	const answersOf = async (shares: CoordinatorSource['shares']): Promise<CoordinatorFrame[]> => {
		const port = await freePort();
		// The lease has lapsed, as while the store is unavailable; followers are still served.
		const server = new CoordinatorServer(`127.0.0.1:${port}`, {...source, holdsLease: () => false, shares}, systemMomentClock);
		const stop = new AbortController();
		context.after(() => {
			stop.abort();
		});
		void server.run(stop.signal);
		await pause(50);
		const asking = await follow(port);
		const answers: CoordinatorFrame[] = [];
		const reader = new FrameReader();
		asking.on('data', bytes => {
			answers.push(...reader.read(bytes).unsafeCoerce() as CoordinatorFrame[]);
		});
		for (const number of [1, 2]) {
			send(asking, {
				kind: 'ask', number, instance: 'asking', cores: 1, uses: [], loads: {}, about: emptyQuery, places: {},
				...(number === 1 ? {} : {demand: [{service: 'desk', heldMilliseconds: 70, rows: [[0, 'harbour', 2, 1]]}]}),
			});
			await pause(50);
		}

		return answers;
	};

	const demands: Array<readonly ServiceDemand[] | undefined> = [];
	const crowded: CrowdedService = {
		service: 'desk', isCongested: true, requestedPerSecond: 2, trendPerSecond: 0, capacityPerSecond: 1, largestUse: 'harbour', fractions: [[0, 'harbour', 0.5, 'share']],
	};
	const answers = await answersOf({
		note(demand) {
			demands.push(demand);
		},
		answer: () => demands.length === 1 ? {} : {crowded: [crowded]},
		reset() {
			// The server serves until the end of the test.
		},
	});
	assert.deepEqual(demands.map(demand => demand?.[0]?.rows), [undefined, [[0, 'harbour', 2, 1]]]);
	assert.deepEqual(answers.map(answer => 'crowded' in answer), [false, true]);
	assert.deepEqual(answers[1]!.crowded, [crowded]);
	const withoutShares = await answersOf(undefined);
	assert.deepEqual(Object.keys(withoutShares[1]!), Object.keys(answers[0]!));
});

test('a lagging coordinator drops the stale query of a prompt, takes its report, and answers the others', async context => {
	// Guards against loads that are missing at the coordinator because the query that reported them was dropped.
	const port = await freePort();
	let dropped = 0;
	const server = new CoordinatorServer(`127.0.0.1:${port}`, {
		...source, recordDropped(count) {
			dropped += count;
		},
	}, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const [one, other] = [await follow(port), await follow(port)];
	context.after(() => {
		stop.abort();
		one.destroy();
		other.destroy();
	});
	const answers: CoordinatorFrame[] = [];
	for (const socket of [one, other]) {
		const reader = new FrameReader();
		socket.on('data', bytes => {
			answers.push(...reader.read(bytes).unsafeCoerce() as CoordinatorFrame[]);
		});
	}

	const prompt = {endpoints: ['engine'], keys: ['salt|id'], partCount: 1};
	const query = (number: number, instance: string, fields: Partial<FollowerFrame & {kind: 'ask'}>): FollowerFrame => ({
		kind: 'ask', number, instance, cores: 1, uses: [], loads: {}, about: prompt, places: {}, ...fields,
	});
	const startedAt = systemMomentClock.moment().steady;
	send(one, query(1, 'one', {sentAt: startedAt}));
	await pause(200);
	one.write(Buffer.concat([
		encodeFrame(query(2, 'one', {sentAt: startedAt + 10, loads: {engine: [5, 100, 0, 0, 0, 0, 0]}})),
		encodeFrame(query(3, 'one', {sentAt: startedAt + 20, about: emptyQuery, loads: {engine: [7, 100, 0, 0, 0, 0, 0]}})),
	]));
	await pause(50);
	send(other, query(1, 'other', {about: {...emptyQuery, endpoints: ['engine']}}));
	await pause(50);
	assert.deepEqual(answers.map(({number}) => number), [1, 3, 1]);
	assert.equal(dropped, 1);
	assert.equal(answers.at(-1)?.loads.engine?.[0], 7);
});

test('frames of another program or release close their connection, and other followers are answered', async context => {
	// Guards against an exception in an event listener, which ended the coordinator's process with all of its requests.
	const port = await freePort();
	const faults: unknown[] = [];
	const server = new CoordinatorServer(`127.0.0.1:${port}`, {
		...source, recordFault(error) {
			faults.push(error);
		},
	}, systemMomentClock);
	const stop = new AbortController();
	const running = server.run(stop.signal);
	context.after(async () => {
		stop.abort();
		await running;
	});
	await pause(50);
	const query = {
		kind: 'ask', number: 1, instance: 'asking', cores: 1, uses: [], loads: {}, about: emptyQuery, places: {},
	};
	const frames = [
		null,
		undefined,
		{kind: 'ask'},
		{...query, loads: undefined},
		{...query, about: undefined},
		{...query, about: {...emptyQuery, endpoints: 7}},
		{...query, crashes: 7},
		{...query, brittle: {}},
	];
	for (const frame of frames) {
		const socket = await follow(port);
		socket.resume();
		const closed = once(socket, 'close');
		socket.write(encodeFrame(frame));
		await closed;
	}

	assert.equal(faults.length, frames.length);
	const sound = await follow(port);
	context.after(() => {
		sound.destroy();
	});
	sound.write(encodeFrame(query));
	const [bytes] = await once(sound, 'data') as [Buffer];
	assert.equal(new FrameReader().read(bytes).unsafeCoerce().length, 1);
});
