import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {startScriptedServer} from '../../test/scripted-server.js';
import {blockEventLoop} from '../../test/separate-callers.js';
import {ObservedPaces} from '../../decision/pace/observed-paces.js';
import {type PaceReport} from '../../decision/pace/pace-report.js';
import {type CrowdedService, type ServiceDemand} from '../../decision/shares/service-demand.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {testFollower} from '../testing/test-follower.js';
import {CoordinatorClient} from './coordinator-client.js';
import {type FollowerFrame, type CoordinatorFrame, emptyQuery} from './coordinator-messages.js';
import {CoordinatorView} from './coordinator-view.js';
import {type LocalFollower} from './local-follower.js';
import {PeerUpdateSources} from './peer-update-sources.js';

/** An empty answer; each test adds what it is about. */
const emptyAnswer: CoordinatorFrame = {
	kind: 'answer', number: 1, isDeputy: false, dataCentre: 'split', isLapsed: false, open: [], loads: {}, parts: {kept: [], engines: [], unknown: []}, tables: [], mostCores: 1, instances: 1,
};

/** Longer than any test takes: no caller is resumed without an answer. */
const foreverMilliseconds = 60_000;

/**
 * A coordinator that answers each query, with as many requests at engine `e1` as it has received frames, and a client with a
 * clock of its own. Each answer arrives `roundTripMilliseconds` of that clock after its query.
 */
async function startFakeCoordinator(context: TestContext, waitMilliseconds = foreverMilliseconds, follower: Partial<LocalFollower> = {}) {
	const answerChanges: Partial<CoordinatorFrame> = {};
	const fake = {
		now: 1000, roundTripMilliseconds: 1, isUnresponsive: false, received: [] as FollowerFrame[], address: '', answerChanges,
	};
	const clock: MomentClock = {
		moment: () => ({steady: fake.now, wall: fake.now}),
		async sleep() {
			// No code under test sleeps.
		},
	};
	const sockets = new Set<Socket>();
	const answer = (socket: Socket, number: number): void => {
		const frame: CoordinatorFrame = {
			...emptyAnswer, number, loads: {e1: [fake.received.length, 0, 0, 0, 0, 0, 0]}, ...fake.answerChanges,
		};
		socket.write(encodeFrame(frame));
	};

	const server = createServer(socket => {
		const reader = new FrameReader();
		sockets.add(socket);
		socket.on('data', bytes => {
			for (const frame of reader.read(Buffer.from(bytes)).unsafeCoerce() as FollowerFrame[]) {
				fake.received.push(frame);
				if (frame.kind === 'ask' && !fake.isUnresponsive) {
					fake.now += fake.roundTripMilliseconds;
					answer(socket, frame.number);
				}
			}
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	fake.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const view = new CoordinatorView();
	const client = new CoordinatorClient(view, testFollower({
		closed() {
			view.reset();
		},
		...follower,
	}), clock, {waitMilliseconds});
	context.after(() => {
		client.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const connect = async (): Promise<void> => {
		client.dial(fake.address);
		client.poll();
		await until(() => view.isFresh(clock.moment()));
	};

	return {
		fake, view, client, clock, connect,
	};
}

async function until(isTrue: () => boolean): Promise<void> {
	while (!isTrue()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

test('the view is fresh when a prompt is placed, and the placement is reported at once', async context => {
	// Callers arrive in bursts. With a view that is some hundred milliseconds old, all instances choose the engine that looked
	// idle then, and it gets a second's worth of prompts to prefill.
	const {fake, view, client, clock, connect} = await startFakeCoordinator(context);
	await connect();
	for (let use = 0; use < 3; use++) {
		const receivedBefore = fake.received.length;
		await client.refresh(emptyQuery);
		assert.equal(view.peerLoadAt('e1', clock.moment())?.requests, receivedBefore + 1);
		client.report();
		await until(() => fake.received.length === receivedBefore + 2);
		assert.equal(fake.received.at(-1)?.kind, 'tell');
	}
});

test('no caller waits for a coordinator that is not connected, unresponsive, or far away', async context => {
	const {fake, client, connect} = await startFakeCoordinator(context);
	await client.refresh(emptyQuery);
	await connect();
	fake.isUnresponsive = true;
	fake.now += 600;
	await client.refresh(emptyQuery);
	assert.equal(fake.received.length, 1);
	fake.isUnresponsive = false;
	fake.roundTripMilliseconds = 160;
	await connect();
	await client.refresh(emptyQuery);
	assert.equal(fake.received.length, 2);
});

test('after a query without an answer in time, no caller waits before the coordinator has answered again', async context => {
	// Guards against requests that all wait, one after the other, for a coordinator that answers none of them.
	const {fake, client, connect} = await startFakeCoordinator(context, 50);
	await connect();
	fake.isUnresponsive = true;
	assert.equal(await client.refresh(emptyQuery), false);
	assert.equal(await client.refresh(emptyQuery), false);
	assert.equal(fake.received.length, 2);
	fake.isUnresponsive = false;
	fake.now += 200;
	client.poll();
	await until(() => fake.received.length === 3);
	await pause(20);
	assert.equal(await client.refresh(emptyQuery), true);
});

test('a caller that can wait for less than usual does not keep the others from waiting', async context => {
	const {fake, client, connect} = await startFakeCoordinator(context, 5000);
	await connect();
	fake.isUnresponsive = true;
	assert.equal(await client.refresh(emptyQuery, 20), false);
	assert.equal(await client.refresh(emptyQuery, 0), false);
	fake.isUnresponsive = false;
	assert.equal(await client.refresh(emptyQuery), true);
	assert.equal(fake.received.length, 3);
});

test('a caller that waits for an answer is resumed when the connection closes', async context => {
	const {fake, client, connect} = await startFakeCoordinator(context);
	await connect();
	fake.isUnresponsive = true;
	const waiting = client.refresh(emptyQuery);
	client.close();
	await waiting;
});

test('while the coordinator does not answer, the standby is queried', async context => {
	// Guards against instances without each other's loads for the seconds until another one may be the coordinator.
	const coordinator = await startFakeCoordinator(context, 50);
	const standby = await startFakeCoordinator(context);
	await coordinator.connect();
	await standby.connect();
	const sources = new PeerUpdateSources(coordinator.client, standby.client, () => 0);
	await sources.refresh(emptyQuery, foreverMilliseconds);
	assert.deepEqual([coordinator.fake.received.length, standby.fake.received.length], [2, 1]);
	coordinator.fake.isUnresponsive = true;
	await sources.refresh(emptyQuery, foreverMilliseconds);
	assert.deepEqual([coordinator.fake.received.length, standby.fake.received.length], [3, 2]);
	coordinator.fake.now += 600;
	await sources.refresh(emptyQuery, foreverMilliseconds);
	sources.report();
	await until(() => standby.fake.received.length === 4);
	assert.deepEqual([coordinator.fake.received.length, standby.fake.received.at(-1)?.kind], [3, 'tell']);
});

test('an answer about a slot that is late is not taken for the absence of a coordinator', async context => {
	// Guards against equal parts of the slots for each beside a coordinator that is granting all of them.
	const {fake, client, connect} = await startFakeCoordinator(context);
	assert.equal(await client.takeSlot('desk-1', 2), 'unavailable');
	await connect();
	fake.isUnresponsive = true;
	assert.equal(await client.takeSlot('desk-1', 2), 'late');
	fake.now += 1300;
	assert.equal(await client.takeSlot('desk-1', 2), 'unavailable');
});

/** A coordinator that sends an answer five times a second. */
const coordinatorProgram = `
	const {parentPort, workerData: bytes} = require('node:worker_threads');
	const {createServer} = require('node:net');
	const server = createServer(socket => {
		const timer = setInterval(() => socket.write(bytes), 200);
		socket.resume().on('error', () => {}).on('close', () => clearInterval(timer));
	}).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

test('a follower that was paused keeps its connection', async context => {
	// Guards against instances that drop their view of all others after a pause, although the coordinator's answers wait in the
	// socket.
	const bytes = encodeFrame(emptyAnswer);
	const coordinator = new Worker(coordinatorProgram, {eval: true, workerData: bytes});
	const [port] = await once(coordinator, 'message') as [number];
	const client = new CoordinatorClient(new CoordinatorView(), testFollower(), systemMomentClock);
	client.dial(`127.0.0.1:${port}`);
	const asking = setInterval(() => {
		client.poll();
	}, 200);
	context.after(async () => {
		clearInterval(asking);
		client.close();
		await coordinator.terminate();
	});
	await pause(600);
	blockEventLoop(2000);
	await pause(300);
	assert.equal(client.isConnected, true);
});

test('a connection on which bytes arrive but no frame is completed is closed', async context => {
	// Guards against followers that wait forever on a connection that carries bytes but no complete frame.
	const frame = encodeFrame(emptyAnswer);
	const server = await startScriptedServer(context, socket => {
		let sent = 0;
		const dripping = setInterval(() => {
			socket.write(frame.subarray(sent, sent + 1));
			sent = Math.min(sent + 1, frame.length - 2);
		}, 100);
		socket.once('close', () => {
			clearInterval(dripping);
		});
	});
	const client = new CoordinatorClient(new CoordinatorView(), testFollower(), systemMomentClock);
	client.dial(server.address);
	const asking = setInterval(() => {
		client.poll();
	}, 200);
	context.after(() => {
		clearInterval(asking);
		client.close();
	});
	await pause(2500);
	assert.equal(client.isConnected, false);
});

test('the list of instances that know where streams began is asked for at an interval, and again from the next coordinator', async context => {
	const {fake, clock} = await startFakeCoordinator(context);
	const applied: unknown[] = [];
	const client = new CoordinatorClient(new CoordinatorView(), testFollower({
		streamPeers: () => ({address: 'a:1', dataCentre: 'split', digest: ''}),
		applyStreamPeers(list) {
			applied.push(list);
		},
	}), clock);
	context.after(() => {
		client.close();
	});
	const pollAndCount = async (): Promise<number> => {
		const before = fake.received.length;
		client.poll();
		await until(() => fake.received.length > before);
		return fake.received.filter(frame => frame.kind === 'ask' && frame.streamPeers !== undefined).length;
	};

	client.dial(fake.address);
	assert.equal(await pollAndCount(), 1);
	fake.now += 500;
	assert.equal(await pollAndCount(), 1);
	fake.now += 600;
	assert.equal(await pollAndCount(), 1);
	fake.now += 1000;
	assert.equal(await pollAndCount(), 2);
	client.dial(fake.address);
	assert.equal(await pollAndCount(), 3);
	assert.deepEqual(applied, [], 'a coordinator of an older build sends no list');
});

test('paces are reported once, and delivered with the names and ages that the answer stands for', async context => {
	// Guards against frames that repeat figures, and against a figure that is taken for that of another endpoint.
	const applied: Array<{paces: readonly PaceReport[]; now: number}> = [];
	const observed = new ObservedPaces();
	const {fake, client, clock, connect} = await startFakeCoordinator(context, foreverMilliseconds, {
		pacesAfter: position => observed.after(position, clock.moment().steady),
		applyPaces(paces, now) {
			applied.push({paces, now});
		},
	});
	await connect();
	assert.deepEqual([fake.received.at(-1)!.paces, applied], [undefined, []]);
	observed.add(testEndpoint({startedAt: 7}), 250, clock.moment().steady);
	client.report();
	fake.answerChanges = {paces: [1, 9, 100, 40, 2, 8, 130, 5], parts: {kept: [], engines: ['e3'], unknown: []}};
	const sentAt = clock.moment().steady;
	await client.refresh({...emptyQuery, endpoints: ['e1', 'e2']});
	assert.deepEqual(fake.received.slice(-2).map(({paces}) => paces), [[['desk-1', 7, 250, 0]], undefined]);
	assert.deepEqual(applied, [{paces: [['e2', 9, 100, 40], ['e3', 8, 130, 5]], now: sentAt}]);
});

test('demand is reported once, and crowded services are delivered with the time of their query', async context => {
	// Guards against calls that count twice, and against fractions that are used for longer than they are valid.
	const applied: Array<{crowded: readonly CrowdedService[]; queriedAt: number}> = [];
	const demands: ServiceDemand[][] = [[], [{service: 'desk', heldMilliseconds: 70, rows: [[0, 'harbour', 2, 1]]}]];
	const {fake, client, clock, connect} = await startFakeCoordinator(context, foreverMilliseconds, {
		shares: {
			takeDemand: () => demands.shift() ?? [],
			applyCrowded(crowded, queriedAt) {
				applied.push({crowded, queriedAt});
			},
		},
	});
	await connect();
	assert.equal('demand' in fake.received.at(-1)!, false);
	const crowded: CrowdedService[] = [{
		service: 'desk', isCongested: true, requestedPerSecond: 600, trendPerSecond: 0, capacityPerSecond: 400, largestUse: 'large', fractions: [[0, 'large', 0.5, 'share']],
	}];
	fake.answerChanges = {crowded};
	const sentAt = clock.moment().steady;
	await client.refresh(emptyQuery);
	await client.refresh(emptyQuery);
	assert.deepEqual(fake.received.slice(-2).map(({demand}) => demand), [[{service: 'desk', heldMilliseconds: 70, rows: [[0, 'harbour', 2, 1]]}], undefined]);
	assert.deepEqual(applied.slice(0, 2), [{crowded: [], queriedAt: sentAt - fake.roundTripMilliseconds}, {crowded, queriedAt: sentAt}]);
});

test('without shares a frame has the same fields as before', async context => {
	// Guards against bytes and work in deployments whose settings do not enable waiting.
	const {fake, client, connect} = await startFakeCoordinator(context);
	await connect();
	client.report();
	fake.answerChanges = {crowded: []};
	await client.refresh(emptyQuery);
	const fields = ['answered', 'cores', 'countsHeldSlots', 'instance', 'kind', 'loads', 'uses'];
	assert.deepEqual(Object.keys(fake.received.at(-2)!).toSorted(), fields);
	assert.deepEqual(Object.keys(fake.received.at(-1)!).toSorted(), [...fields, 'about', 'number', 'places', 'sentAt', 'wantsRelays'].toSorted());
});

test('an answer of another program or release closes the connection, and the coordinator is dialled again', async context => {
	// Guards against an exception in an event listener, which ended the process with all of its requests.
	const frames = [
		null,
		{kind: 'answer', number: 2},
		{
			...emptyAnswer, number: 3, loads: undefined, parts: null,
		},
	];
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.once('data', () => {
			socket.write(encodeFrame(frames[sockets.length - 1]));
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const faults: unknown[] = [];
	const client = new CoordinatorClient(new CoordinatorView(), testFollower(), systemMomentClock, {
		onFault(error) {
			faults.push(error);
		},
	});
	context.after(() => {
		client.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	for (const [index] of frames.entries()) {
		client.dial(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		client.poll();
		await until(() => !client.isConnected);
		assert.equal(faults.length, index + 1);
	}
});
