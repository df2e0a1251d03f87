import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {openSocket, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const timeoutMilliseconds = 1500;
/** The timeout of the route, and extra time for a busy machine. */
const releaseMilliseconds = timeoutMilliseconds + 1500;
const request = rawRequest({
	method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '60000'}, body: 'x',
});

type Stage = {
	/** Whether the caller waits for the first bytes of its answer before it disconnects. */
	disconnectsWithinAnswer: boolean;
	/** Acts as the endpoint; `disconnected` resolves when the caller has disconnected. */
	play(incoming: IncomingMessage, response: ServerResponse, disconnected: Promise<unknown>): void | Promise<void>;
};

const stages: Record<string, Stage> = {
	'before the head of a rejection whose body stalls': {
		async play(incoming, response, disconnected) {
			await disconnected;
			response.writeHead(503, {...sealedHeaders(incoming), [names.notExecuted]: '1', 'content-length': '100'});
			response.write('full');
		},
		disconnectsWithinAnswer: false,
	},
	'before the head of an answer that stalls': {
		async play(incoming, response, disconnected) {
			await disconnected;
			response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '100'});
			response.write('half');
		},
		disconnectsWithinAnswer: false,
	},
	'before the head of an answer that never arrives': {
		play() {
			// The endpoint hangs.
		},
		disconnectsWithinAnswer: false,
	},
	'within an answer that stalls': {
		play(incoming, response) {
			response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '100'});
			response.write('half');
		},
		disconnectsWithinAnswer: true,
	},
	'within an answer that it does not read': {
		play(incoming, response) {
			response.writeHead(200, {...sealedHeaders(incoming), 'content-length': '100000000'});
			response.write('f'.repeat(50_000_000));
		},
		disconnectsWithinAnswer: true,
	},
	'within a failure that stalls': {
		play(incoming, response) {
			response.writeHead(500, {...sealedHeaders(incoming), 'content-length': '100'});
			response.write('half');
		},
		disconnectsWithinAnswer: true,
	},
};

async function isReleasedWithin(socket: Socket, milliseconds: number): Promise<boolean> {
	return socket.destroyed || Promise.race([
		new Promise<boolean>(resolve => {
			socket.once('close', () => {
				resolve(true);
			});
		}),
		pause(milliseconds, false),
	]);
}

for (const kind of ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'] satisfies RouteKind[]) {
	for (const [stage, {play, disconnectsWithinAnswer}] of Object.entries(stages)) {
		test(`an endpoint's connection is released when the caller disconnects ${stage} (${kind})`, async () => {
			// Guards against endpoints that run out of connections because each disconnected caller leaks one.
			const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind, timeoutMilliseconds, maxAttempts: 1})]})).start();
			const disconnection = new AbortController();
			const disconnected = once(disconnection.signal, 'abort');
			let arrive!: (socket: Socket) => void;
			const arrival = new Promise<Socket>(resolve => {
				arrive = resolve;
			});
			await gateway.addEndpoint(async (incoming, response) => {
				arrive(incoming.socket);
				return play(incoming, response, disconnected);
			});
			const caller = await openSocket(gateway.address);
			caller.write(request);
			const socket = await arrival;
			if (disconnectsWithinAnswer) {
				await once(caller, 'readable');
			}

			caller.destroy();
			await pause(50);
			disconnection.abort();
			const isReleased = await isReleasedWithin(socket, releaseMilliseconds);
			await gateway.close();
			assert.equal(isReleased, true);
		});
	}
}

test('a non-idempotent call is left to finish after its caller has disconnected', async () => {
	// Guards against bookings that stay half done because their callers closed their connections.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'non-idempotent', timeoutMilliseconds, maxAttempts: 1})]})).start();
	let arrive!: (response: ServerResponse) => void;
	const arrival = new Promise<ServerResponse>(resolve => {
		arrive = resolve;
	});
	await gateway.addEndpoint(async (incoming, response) => {
		arrive(response);
		await pause(700);
		answerSealed(incoming, response, {body: 'booked'});
	});
	const caller = await openSocket(gateway.address);
	caller.write(request);
	const answer = await arrival;
	caller.destroy();
	await once(answer, 'close');
	await gateway.close();
	assert.equal(answer.writableFinished, true);
});
