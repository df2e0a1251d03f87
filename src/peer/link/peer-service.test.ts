import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createHmac} from 'node:crypto';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {systemClock} from '../../adapters/system-clock.js';
import {changeOf} from '../../bench/bench-changes.js';
import {VirtualKeeper} from '../../bench/virtual-peers.js';
import {encodeFrame, frameLimitBytes} from '../framing/frame-codec.js';
import {createMessageReader, encodeMessage} from '../message/message-codec.js';
import {type Hello, spokenVersions, type VersionRange} from '../message/peer-message.js';
import {seededRandom} from '../random/seeded-random.js';
import {helloTimeoutMilliseconds} from './peer-link.js';
import {PeerService} from './peer-service.js';

const usualSecret = 'secret of the test';
const stepMilliseconds = 10;
const limitMilliseconds = 10_000;

class Running {
	readonly keeper = new VirtualKeeper(() => Date.now());
	readonly closed: string[] = [];
	readonly service: PeerService;
	address = '';
	readonly #stop = new AbortController();
	#ended: Promise<void> = Promise.resolve();

	constructor(readonly name: string, versions: VersionRange = spokenVersions, seeds: string[] = [], secret = usualSecret) {
		this.service = new PeerService({
			instance: name, dataCentre: 'split', listenAddress: '127.0.0.1:0', clock: systemClock, secret, versions, seeds, keeper: this.keeper, random: seededRandom(7), fanoutMode: 'announce',
			listener: {
				loadsLearned: () => undefined,
				snapshotOffered: () => false,
				memberChanged: () => undefined,
				endpointsShared: () => undefined,
			},
			onLinkClosed: (_peer, reason) => {
				this.closed.push(reason);
			},
		});
	}

	async start(): Promise<this> {
		this.address = await this.service.listen();
		this.#ended = this.service.run(this.#stop.signal);
		return this;
	}

	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#ended;
	}

	listed() {
		return {
			name: this.name, role: 'entry' as const, dataCentre: 'split', service: '', address: '', peerAddress: this.address, state: 'live' as const,
		};
	}
}

async function until(holds: () => boolean): Promise<void> {
	const end = Date.now() + limitMilliseconds;
	while (!holds()) {
		assert.ok(Date.now() < end, 'it did not come about in time');
		await systemClock.sleep(stepMilliseconds, new AbortController().signal);
	}
}

/** Connects as the peer `b`, says hello and proves the secret; reads nothing after that. */
async function connectAsPeer(one: Running): Promise<Socket> {
	const socket = connect({host: '127.0.0.1', port: Number(one.address.split(':')[1])});
	socket.write(encodeMessage({
		kind: 'hello', versions: {least: 1, newest: 1}, challenge: '', from: {
			name: 'b', dataCentre: 'split', peerAddress: '127.0.0.1:1', incarnation: 1, status: 'alive',
		},
	}));
	const [bytes] = await once(socket, 'data') as [Buffer];
	const [hello] = createMessageReader().read(bytes).unsafeCoerce() as [Hello];
	const digest = createHmac('sha256', usualSecret).update(`peer-link|b|${hello.challenge}`).digest('hex');
	socket.write(encodeMessage({kind: 'proof', digest}));
	return socket;
}

async function together(running: readonly Running[]): Promise<void> {
	await Promise.all(running.map(async one => one.start()));
	for (const {service} of running) {
		service.takeList(running.map(one => one.listed()));
	}
}

test('two releases side by side speak the older version, and a change passes between them', async () => {
	const old = new Running('a', {least: 1, newest: 1});
	const later = new Running('b', {least: 1, newest: 2});
	await together([old, later]);
	await until(() => old.service.linked.length === 1 && later.service.linked.length === 1);
	const change = changeOf(old.keeper.state, 1);
	old.keeper.offerChange(change);
	old.service.changeInForce(change);
	await until(() => later.keeper.state.version === 1);
	await Promise.all([old.stop(), later.stop()]);
});

test('releases without a common version stay apart', async () => {
	// Neither may take the other's messages for something else. Each goes on by itself, from the table.
	const old = new Running('a', {least: 1, newest: 1});
	const later = new Running('b', {least: 2, newest: 3});
	await together([old, later]);
	await until(() => old.service.counts.messagesIn > 1 && later.service.counts.messagesIn > 0);
	assert.deepEqual([old.service.linked, later.service.linked], [[], []]);
	await Promise.all([old.stop(), later.stop()]);
});

test('a peer that sends too long a frame, or speaks before its hello, is cut off and costs nothing else', async () => {
	const one = await new Running('a').start();
	const port = Number(one.address.split(':')[1]);
	const head = Buffer.alloc(4);
	head.writeUInt32BE(frameLimitBytes + 1, 0);
	const early = encodeMessage({kind: 'ask-changes', after: 0});
	for (const bytes of [head, early]) {
		const socket = connect({host: '127.0.0.1', port});
		socket.write(bytes);
		socket.resume();
		await once(socket, 'close');
	}

	const socket = connect({host: '127.0.0.1', port});
	socket.write(encodeFrame({kind: 'a kind of a later release'}));
	await until(() => one.service.counts.unknownKinds === 1);
	socket.destroy();
	await one.stop();
});

test('a peer that reads nothing holds a bounded queue, and the rest is dropped and counted', async () => {
	const one = await new Running('a').start();
	const socket = await connectAsPeer(one);
	await until(() => one.service.linked.length === 1);
	socket.pause();
	for (let version = 1; one.service.counts.dropped === 0; version++) {
		assert.ok(version < 200_000, 'nothing is dropped');
		one.service.leave();
	}

	socket.destroy();
	await one.stop();
});

test('a peer that sends a message with members missing is cut off, and the process goes on', async () => {
	// A faulty release sends a view without members. Reading it throws; that must end the link and not the data path.
	const one = await new Running('a').start();
	const socket = await connectAsPeer(one);
	await until(() => one.service.linked.length === 1);
	socket.resume();
	socket.write(encodeFrame({kind: 'view'}));
	await once(socket, 'close');
	await until(() => one.closed.length === 1);
	assert.match(one.closed[0]!, /malformed message/v);
	await one.stop();
});

test('a peer that drips its hello is cut off in time', async () => {
	// Guards against connections that are held for good by sending a byte before each idle timeout.
	const one = await new Running('a').start();
	const socket = connect({host: '127.0.0.1', port: Number(one.address.split(':')[1])});
	const head = Buffer.alloc(4);
	head.writeUInt32BE(frameLimitBytes, 0);
	socket.write(head);
	const dripping = setInterval(() => {
		socket.write('x');
	}, 200);
	const isClosed = await Promise.race([once(socket.resume(), 'close').then(() => true, () => true), pause(2 * helloTimeoutMilliseconds, false)]);
	clearInterval(dripping);
	socket.destroy();
	await one.stop();
	assert.equal(isClosed, true);
});

test('whoever does not know the shared secret is no peer', async () => {
	// It could otherwise bring a configuration of its own into force everywhere.
	const [first, stranger] = [new Running('a'), new Running('b', spokenVersions, [], 'another secret')];
	await together([first, stranger]);
	await until(() => first.service.counts.messagesIn > 1 && stranger.service.counts.messagesIn > 1);
	assert.deepEqual([first.service.linked, stranger.service.linked], [[], []]);
	await Promise.all([first.stop(), stranger.stop()]);
});

test('a peer that starts anew is linked again', async () => {
	const first = new Running('a');
	const second = new Running('b');
	await together([first, second]);
	await until(() => second.service.linked.length === 1);
	await second.stop();
	await until(() => first.service.linked.length === 0);
	const again = await new Running('b').start();
	again.service.takeList([first.listed(), again.listed()]);
	await until(() => first.service.linked.length === 1 && again.service.linked.length === 1);
	await Promise.all([first.stop(), again.stop()]);
});

test('an instance that starts without the platform\'s list finds its peers by its settings, and gets the changes', async () => {
	// The platform is away altogether: no list, no table. The one address in its settings is enough; that peer tells it of
	// the others, and it asks for what it lacks.
	const [first, second] = [new Running('a'), new Running('b')];
	await together([first, second]);
	const change = changeOf(first.keeper.state, 1);
	first.keeper.offerChange(change);
	first.service.changeInForce(change);
	const late = await new Running('c', spokenVersions, [first.address]).start();
	await until(() => late.keeper.state.version === 1 && late.service.linked.length === 2);
	await Promise.all([first.stop(), second.stop(), late.stop()]);
});
