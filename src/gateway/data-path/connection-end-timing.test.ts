import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {setTimeout as pause} from 'node:timers/promises';
import {openSocket} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** When the connection ends, relative to the last bytes: with them, after their write, a turn, 1 ms or 20 ms later. */
const timings = ['same-turn', 'behind-write', 'next-turn', 'soon', 'late', 'behind-second-part'] as const;
const bodySizes = [0, 5, 800, 65_536, 300_000];

type Play = {bytes: number; timing: typeof timings[number]; isReset: boolean};

function endAnswer(response: ServerResponse, {bytes, timing, isReset}: Play): void {
	const socket = response.socket!;
	const body = 'b'.repeat(bytes);
	const head = `HTTP/1.1 200 OK\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\nconnection: close\r\n\r\n`;
	const finish = (): void => {
		if (isReset) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	};

	switch (timing) {
		case 'same-turn': {
			socket.write(head + body);
			finish();
			break;
		}

		case 'behind-write': {
			socket.write(head + body, finish);
			break;
		}

		case 'next-turn': {
			socket.write(head + body, () => {
				setImmediate(finish);
			});
			break;
		}

		case 'soon':
		case 'late': {
			socket.write(head + body, () => {
				setTimeout(finish, timing === 'soon' ? 1 : 20);
			});
			break;
		}

		case 'behind-second-part': {
			socket.write(head + body.slice(0, bytes / 2));
			setTimeout(() => {
				socket.write(body.slice(bytes / 2), finish);
			}, 2);
			break;
		}
	}
}

function requestOf(id: string, connection: 'close' | 'keep-alive'): string {
	return `POST / HTTP/1.1\r\nhost: quay.example\r\n${names.attemptId}: ${id}\r\n${names.deadline}: 5000\r\nconnection: ${connection}\r\ncontent-length: 1\r\n\r\nx`;
}

/** Whether a caller gets a complete answer; it may have used its connection before, and may read late. */
async function getsWhole(address: string, isReused: boolean, pauseMilliseconds: number): Promise<boolean> {
	const caller = await openSocket(address);
	if (isReused) {
		caller.write(requestOf('before', 'keep-alive'));
		await once(caller, 'data');
	}

	let text = '';
	caller.setEncoding('latin1').pause();
	caller.write(requestOf('a1', 'close'));
	await pause(pauseMilliseconds);
	caller.on('data', chunk => {
		text += String(chunk);
	}).resume();
	if (!caller.closed) {
		await once(caller, 'close');
	}

	return text.startsWith('HTTP/1.1 200') && text.endsWith('\r\n0\r\n\r\n');
}

for (const seed of [1, 2]) {
	test(`answers without a length are complete if and only if their connection was closed in order; seed ${seed}`, async () => {
		// Guards against half of an answer that looks complete, and against the loss of a complete one. The endpoint sends an
		// answer that ends with its connection, and closes or resets that at some time after the last bytes. Whether both
		// arrive in one turn of the event loop, on a new or reused connection, for a slow or fast caller, must not matter.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'non-idempotent'})]})).start();
		const plays = timings.flatMap(timing => bodySizes.flatMap(bytes => [true, false].map(isReset => ({bytes, timing, isReset}))));
		let play = plays[0]!;
		await gateway.addEndpoint((request, response) => {
			if (request.headers[names.attemptId] === 'before') {
				response.writeHead(200, {
					[names.attemptId]: 'before', [names.seal]: 's', 'content-length': '1', 'keep-alive': 'timeout=5',
				});
				response.end('b');
				return;
			}

			endAnswer(response, play);
		});
		const wrong: string[] = [];
		for (const [index, next] of plays.entries()) {
			play = next;
			const isReused = ((index * 7) + seed) % 3 === 0;
			const pauseMilliseconds = ((index * 5) + seed) % 4 === 0 ? 15 : 0;
			const results = await Promise.all(Array.from({length: 4}, async () => getsWhole(gateway.address, isReused, pauseMilliseconds)));
			if (results.includes(play.isReset)) {
				wrong.push(JSON.stringify({...play, isReused, results}));
			}
		}

		await gateway.close();
		assert.deepEqual(wrong, []);
	});
}

for (const isReset of [true, false]) {
	test(`an answer that waits for a slow caller while its connection is ${isReset ? 'reset' : 'closed in order'} is ${isReset ? 'cut' : 'whole'}`, async () => {
		// While the caller does not read, the gateway does not read either. It sees the end of the endpoint's connection only
		// when the caller reads again, after the bytes that waited in the operating system's buffers.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'non-idempotent'})]})).start();
		let callerSide: Socket | undefined;
		const holdWrites = (message: unknown): void => {
			const {request, socket} = message as {request: {headers: Record<string, unknown>}; socket: Socket};
			if (callerSide === undefined && request.headers[names.attemptId] === 'a1') {
				callerSide = socket;
				socket.cork();
			}
		};

		subscribe('http.server.request.start', holdWrites);
		await gateway.addEndpoint((_request, response) => {
			endAnswer(response, {bytes: 300_000, timing: 'late', isReset});
		});
		const whole = getsWhole(gateway.address, false, 0);
		await pause(150);
		callerSide?.uncork();
		const isWhole = await whole;
		unsubscribe('http.server.request.start', holdWrites);
		await gateway.close();
		assert.equal(isWhole, !isReset);
	});
}
