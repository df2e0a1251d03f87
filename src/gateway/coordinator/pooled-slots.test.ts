import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {testCoordinatorSource} from '../testing/test-coordinator-source.js';
import {CoordinatorServer} from './coordinator-server.js';
import {type CoordinatorFrame, emptyQuery} from './coordinator-messages.js';

const slot = {endpoint: 'desk-1', slots: 4};

/** A coordinator, or its standby, and followers of it by name; those that are lacking are granted no slots by another one. */
async function startFollowers(context: TestContext, names: readonly string[], isStandby = false) {
	const state = {now: 0, term: 1 as number | undefined, lacking: new Set<string>()};
	const clock = {
		moment: () => ({steady: state.now, wall: state.now}),
		async sleep() {
			// Nothing under test sleeps.
		},
	};
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const {port} = probe.address() as AddressInfo;
	probe.close();
	await once(probe, 'close');
	const stop = new AbortController();
	void new CoordinatorServer(`127.0.0.1:${port}`, {...testCoordinatorSource, isStandby, slotTerm: () => state.term}, clock).run(stop.signal);
	await pause(50);
	const followers = new Map<string, Socket>();
	for (const name of names) {
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		followers.set(name, socket);
	}

	context.after(() => {
		stop.abort();
		for (const socket of followers.values()) {
			socket.destroy();
		}
	});
	let number = 0;
	const ask = async (name: string): Promise<boolean | undefined> => {
		const socket = followers.get(name)!;
		const answered = once(socket, 'data') as Promise<[Uint8Array]>;
		number++;
		socket.write(encodeFrame({
			kind: 'ask', number, instance: name, cores: 1, uses: [], loads: {}, answered: 0, lacksSlots: state.lacking.has(name), about: emptyQuery, places: {}, slot,
		}));
		const [bytes] = await answered;
		const [answer] = new FrameReader().read(bytes as never).unsafeCoerce() as CoordinatorFrame[];
		return answer?.isSlotGranted;
	};

	/** Earlier grants are forgotten meanwhile; followers go on to report. */
	const pass = async (milliseconds: number): Promise<void> => {
		for (const end = state.now + milliseconds; state.now < end; state.now += 500) {
			for (const [name, socket] of followers) {
				socket.write(encodeFrame({
					kind: 'tell', instance: name, cores: 1, uses: [], loads: {}, lacksSlots: state.lacking.has(name),
				}));
			}

			await pause(20);
		}
	};

	return {
		state, followers, ask, pass,
	};
}

test('a coordinator whose lease has lapsed grants the parts of all its followers to whichever of them asks', async context => {
	const {
		state, followers, ask, pass,
	} = await startFollowers(context, ['first', 'second']);
	assert.equal(await ask('first'), undefined, 'not all instances may have reported');
	await pass(2000);
	assert.equal(await ask('first'), true);
	state.term = undefined;
	await pass(1500);
	assert.deepEqual([await ask('first'), await ask('first'), await ask('first'), await ask('second'), await ask('first')], [true, true, true, true, false]);
	followers.get('second')!.destroy();
	followers.delete('second');
	await pass(1500);
	assert.deepEqual([await ask('first'), await ask('first'), await ask('first')], [true, true, false], 'the part of an instance that follows no more is its own');
});

test('while no coordinator grants slots, the standby grants the parts of the instances that lack them to whichever of these asks', async context => {
	// Guards against equal parts of the slots for each, where one instance gets most requests while the coordinator is replaced.
	const {
		state, followers, ask, pass,
	} = await startFollowers(context, ['first', 'second', 'third', 'fourth'], true);
	assert.equal(await ask('first'), undefined, 'not all instances may have found it');
	await pass(2000);
	assert.equal(await ask('first'), undefined, 'the coordinator grants its slots');
	state.lacking = new Set(['first', 'second', 'third']);
	await pass(500);
	assert.deepEqual([await ask('first'), await ask('first'), await ask('first'), await ask('second')], [true, true, true, false]);
	assert.equal(await ask('fourth'), undefined);
	followers.get('third')!.destroy();
	followers.delete('third');
	await pass(1500);
	assert.deepEqual([await ask('first'), await ask('first'), await ask('first')], [true, true, false], 'the part of an instance that follows no more is its own');
	state.term = 2;
	assert.equal(await ask('first'), undefined, 'a new standby');
});
