import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {ArrivalTurns, type TurnConnection} from './arrival-turns.js';

class FakeSocket {
	isRead = true;
	/** Called after the socket has been resumed. */
	onResumed = (): void => undefined;

	on(_event: 'resume', listener: () => void): void {
		this.onResumed = listener;
	}

	pause(): void {
		this.isRead = false;
	}

	resume(): void {
		this.isRead = true;
	}
}

type Connection = TurnConnection & {fake: FakeSocket};

function createConnection(): Connection {
	const fake = new FakeSocket();
	return {fake, socket: fake as unknown as Socket, spentMilliseconds: 0};
}

async function nextTurn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Turns in which each piece takes a millisecond. */
function createTurns(): {turns: ArrivalTurns<Connection>; spentBy: Connection[]; send(connection: Connection, pieces: number): void} {
	let now = 0;
	const spentBy: Connection[] = [];
	const turns = new ArrivalTurns<Connection>(() => now, connection => {
		spentBy.push(connection);
	});
	return {
		turns, spentBy, send(connection, pieces) {
			for (let piece = 0; piece < pieces; piece++) {
				now++;
				turns.notePiece(connection);
			}
		},
	};
}

test('a connection that uses up the time of a turn is not read before the next one, and neither is a new one', async () => {
	const {turns, send, spentBy} = createTurns();
	const [heavy, late] = [createConnection(), createConnection()];
	turns.add(heavy);
	send(heavy, 100);
	turns.add(late);
	assert.deepEqual(spentBy, [heavy]);
	assert.deepEqual([heavy.fake.isRead, late.fake.isRead, turns.heldBack], [false, false, 2]);
	await nextTurn();
	await nextTurn();
	assert.deepEqual([heavy.fake.isRead, late.fake.isRead, turns.heldBack], [true, true, 0]);
});

test('a connection that Node reads again by itself stays held back', () => {
	const {turns, send} = createTurns();
	const heavy = createConnection();
	turns.add(heavy);
	send(heavy, 100);
	heavy.fake.resume();
	heavy.fake.onResumed();
	assert.equal(heavy.fake.isRead, false);
});

test('a connection whose request is complete is read at once', () => {
	// Guards against a request that is sent to an endpoint although its caller has left, since nobody reads that it has.
	const {turns, send} = createTurns();
	const heavy = createConnection();
	turns.add(heavy);
	send(heavy, 100);
	turns.release(heavy);
	assert.deepEqual([heavy.fake.isRead, turns.heldBack], [true, 0]);
});

test('pieces that arrive in different turns are not taken for slow ones', async () => {
	const {turns, send, spentBy} = createTurns();
	const slow = createConnection();
	turns.add(slow);
	for (let turn = 0; turn < 30; turn++) {
		send(slow, 7);
		await nextTurn();
	}

	assert.deepEqual(spentBy, []);
	assert.equal(slow.fake.isRead, true);
});
