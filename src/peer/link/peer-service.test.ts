import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createHmac} from 'node:crypto';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {systemClock} from '../../adapters/system-clock.js';
import {type Clock} from '../../ports/clock.js';
import {ManualClock} from '../../test/manual-clock.js';
import {waitUntil} from '../../test/wait-until.js';
import {changeOf} from '../../bench/bench-changes.js';
import {VirtualConfiguration} from '../../bench/virtual-peers.js';
import {encodeFrame, frameLimitBytes} from '../framing/frame-codec.js';
import {createMessageReader, encodeMessage} from '../message/message-codec.js';
import {type Hello, supportedVersions, type VersionRange} from '../message/peer-message.js';
import {seededRandom} from '../random/seeded-random.js';
import {helloTimeoutMilliseconds} from './peer-link.js';
import {PeerService} from './peer-service.js';

const stepMilliseconds = 10;
const sharedSecret = 'secret of the test';

type PeerOptions = {versions?: VersionRange; seeds?: string[]; secret?: string; clock?: Clock};

class RunningPeer {
	readonly configuration = new VirtualConfiguration(() => Date.now());
	readonly opened: string[] = [];
	readonly closed: string[] = [];
	readonly service: PeerService;
	address = '';
	readonly #stop = new AbortController();
	#ended: Promise<void> = Promise.resolve();

	constructor(readonly name: string, {versions = supportedVersions, seeds = [], secret = sharedSecret, clock = systemClock}: PeerOptions = {}) {
		this.service = new PeerService({
			instance: name, dataCentre: 'split', listenAddress: '127.0.0.1:0', clock, secret, versions, seeds,
			configuration: this.configuration, random: seededRandom(7), fanoutMode: 'announce',
			listener: {
				loadsReceived: () => undefined,
				snapshotOffered: () => false,
				memberChanged: () => undefined,
				ownershipChanged: () => undefined,
			},
			onLinkOpened: peer => {
				this.opened.push(peer);
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

/** Connects as the peer `b` and sends its hello and proof; reads nothing after that. */
async function connectAsPeer(one: RunningPeer): Promise<Socket> {
	const socket = connect({host: '127.0.0.1', port: Number(one.address.split(':')[1])});
	socket.write(encodeMessage({
		kind: 'hello', versions: {least: 1, newest: 1}, challenge: '', from: {
			name: 'b', dataCentre: 'split', peerAddress: '127.0.0.1:1', incarnation: 1, status: 'alive',
		},
	}));
	const [bytes] = await once(socket, 'data') as [Buffer];
	const [hello] = createMessageReader().read(bytes).unsafeCoerce() as [Hello];
	const digest = createHmac('sha256', sharedSecret).update(`peer-link|b|${hello.challenge}`).digest('hex');
	socket.write(encodeMessage({kind: 'proof', digest}));
	return socket;
}

async function startTogether(running: readonly RunningPeer[]): Promise<void> {
	await Promise.all(running.map(async one => one.start()));
	for (const {service} of running) {
		service.applyList(running.map(one => one.listed()));
	}
}

test('a restarted peer links to peers that know only its former address before a change must be in force', async t => {
	// Guards against a restarted peer that waits to be dialled: until it has links, changes do not reach it without the table.
	const first = new RunningPeer('a');
	const second = new RunningPeer('b');
	await startTogether([first, second]);
	await waitUntil(() => second.service.linked.length === 1);
	await second.stop();
	const clock = new ManualClock(Date.now());
	const again = await new RunningPeer('b', {clock}).start();
	t.after(async () => Promise.all([first.stop(), again.stop()]));
	again.service.applyList([first.listed(), again.listed()]);
	for (let passed = 0; passed < 300; passed += 100) {
		clock.advance(100);
		await pause(stepMilliseconds);
	}

	await waitUntil(() => first.service.linked.length === 1 && again.service.linked.length === 1);
	assert.deepEqual(again.opened, ['a']);
});

test('two releases side by side use the older protocol version and exchange a change', async () => {
	const old = new RunningPeer('a', {versions: {least: 1, newest: 1}});
	const later = new RunningPeer('b', {versions: {least: 1, newest: 2}});
	await startTogether([old, later]);
	await waitUntil(() => old.service.linked.length === 1 && later.service.linked.length === 1);
	const change = changeOf(old.configuration.state, 1);
	old.configuration.offerChange(change);
	old.service.announceChange(change);
	await waitUntil(() => later.configuration.state.version === 1);
	await Promise.all([old.stop(), later.stop()]);
});

test('releases without a common protocol version do not link', async () => {
	// Neither may misinterpret the other's messages. Each goes on separately and reads changes from the table.
	const old = new RunningPeer('a', {versions: {least: 1, newest: 1}});
	const later = new RunningPeer('b', {versions: {least: 2, newest: 3}});
	await startTogether([old, later]);
	await waitUntil(() => old.service.counts.messagesIn > 1 && later.service.counts.messagesIn > 0);
	assert.deepEqual([old.service.linked, later.service.linked], [[], []]);
	await Promise.all([old.stop(), later.stop()]);
});

test('a connection with a frame over the limit, or with a message before the hello, is closed, and the service goes on', async () => {
	const one = await new RunningPeer('a').start();
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
	await waitUntil(() => one.service.counts.unknownKinds === 1);
	socket.destroy();
	await one.stop();
});

test('the queue for a peer that reads nothing is bounded, and further messages are dropped and counted', async () => {
	const one = await new RunningPeer('a').start();
	const socket = await connectAsPeer(one);
	await waitUntil(() => one.service.linked.length === 1);
	socket.pause();
	for (let version = 1; one.service.counts.dropped === 0; version++) {
		assert.ok(version < 200_000, 'no message was dropped');
		one.service.leave();
	}

	socket.destroy();
	await one.stop();
});

test('the link of a peer that sends a message with missing members is closed, and the process goes on', async () => {
	// A faulty release sends a view without members. Handling it throws, which must close the link and not crash the process.
	const one = await new RunningPeer('a').start();
	const socket = await connectAsPeer(one);
	await waitUntil(() => one.service.linked.length === 1);
	socket.resume();
	socket.write(encodeFrame({kind: 'view'}));
	await once(socket, 'close');
	await waitUntil(() => one.closed.length === 1);
	assert.match(one.closed[0]!, /malformed message/v);
	await one.stop();
});

test('a connection that sends its hello byte by byte is closed after the timeout', async () => {
	// Guards against connections that are kept open without end by a byte before each idle timeout.
	const one = await new RunningPeer('a').start();
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

test('a process that does not know the shared secret gets no link', async () => {
	// It could otherwise bring its own configuration into force at all instances.
	const [first, stranger] = [new RunningPeer('a'), new RunningPeer('b', {secret: 'another secret'})];
	await startTogether([first, stranger]);
	await waitUntil(() => first.service.counts.messagesIn > 1 && stranger.service.counts.messagesIn > 1);
	assert.deepEqual([first.service.linked, stranger.service.linked], [[], []]);
	await Promise.all([first.stop(), stranger.stop()]);
});

test('a restarted peer is linked again', async () => {
	const first = new RunningPeer('a');
	const second = new RunningPeer('b');
	await startTogether([first, second]);
	await waitUntil(() => second.service.linked.length === 1);
	await second.stop();
	await waitUntil(() => first.service.linked.length === 0);
	const again = await new RunningPeer('b').start();
	again.service.applyList([first.listed(), again.listed()]);
	await waitUntil(() => first.service.linked.length === 1 && again.service.linked.length === 1);
	await Promise.all([first.stop(), again.stop()]);
});

test('an instance that starts without the platform\'s list finds its peers by the seeds in its settings, and gets the changes', async () => {
	// The platform is unavailable: there is neither list nor table. One seed address is enough: that peer announces the others,
	// and the instance queries the changes that it lacks.
	const [first, second] = [new RunningPeer('a'), new RunningPeer('b')];
	await startTogether([first, second]);
	const change = changeOf(first.configuration.state, 1);
	first.configuration.offerChange(change);
	first.service.announceChange(change);
	const late = await new RunningPeer('c', {seeds: [first.address]}).start();
	await waitUntil(() => late.configuration.state.version === 1 && late.service.linked.length === 2);
	await Promise.all([first.stop(), second.stop(), late.stop()]);
});
