import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {
	exchangeRaw, openSocket, rawRequest, readUntil, statusOf,
} from '../../test/raw-http.js';
import {type Route, type RouteKind} from '../../shared/routed-configuration.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const headers = {
	host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
};
async function gatewayFor(kind: RouteKind, changes: Partial<Route> = {}): Promise<TestGateway> {
	const configuration = testConfiguration({routes: [testRoute({kind, ...changes})]});
	return new TestGateway(configuration).start();
}

const post = rawRequest({
	method: 'POST', path: '/', headers, body: 'x',
});

async function readText(request: IncomingMessage): Promise<string> {
	const chunks: string[] = [];
	request.setEncoding('utf8');
	request.on('data', chunk => {
		chunks.push(String(chunk));
	});
	await once(request, 'end');
	return chunks.join('');
}

test('target, body and headers pass unchanged both ways', async () => {
	const gateway = await gatewayFor('idempotent');
	let seen: {url: string | undefined; rawHeaders: string[]; body: string} | undefined;
	await gateway.addEndpoint(async (request, response) => {
		seen = {url: request.url, rawHeaders: request.rawHeaders, body: await readText(request)};
		response.writeHead(200, 'Fine', ['X-Twice', '1', 'x-twice', '2', 'Content-Length', '3', names.attemptId, 'a1', names.seal, 's']);
		response.end('a\0b');
	});
	const target = '//a/../%2e%2E/b;c?d=%zz&e';
	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: target, headers: {...headers, 'X-Twice': 'first', 'x-Twice': 'second'}, body: 'one\r\n\r\ntwo',
	}));
	await gateway.close();
	assert.equal(seen?.url, target);
	assert.equal(seen?.body, 'one\r\n\r\ntwo');
	assert.deepEqual(seen?.rawHeaders.filter((_, index, all) => /^x-twice$/iv.test(all[index - 1] ?? '')), ['first', 'second']);
	assert.match(answer, /^HTTP\/1\.1 200 Fine\r\n/v);
	assert.match(answer, /X-Twice: 1\r\nx-twice: 2/v);
	assert.ok(answer.endsWith('\r\n\r\na\0b'));
});

test('a body in chunks arrives completely', async () => {
	const gateway = await gatewayFor('idempotent');
	let body = '';
	await gateway.addEndpoint(async (request, response) => {
		body = await readText(request);
		answerSealed(request, response);
	});
	const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	await exchangeRaw(gateway.address, `POST / HTTP/1.1\r\n${head}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n`);
	await gateway.close();
	assert.equal(body, 'abcdefg');
});

for (const pauseMilliseconds of [20, 0]) {
	test(`an answer without a length that is reset ${pauseMilliseconds} ms after its bytes does not look complete`, async () => {
		// The endpoint's host dies while it sends an answer that ends with its connection. If that is relayed as complete, the
		// caller takes half of the answer for all of it. A reset that arrives together with the bytes looks like an ordinary end.
		const gateway = await gatewayFor('non-idempotent');
		await gateway.addEndpoint((request, response) => {
			response.socket!.write(`HTTP/1.1 200 OK\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\nconnection: close\r\n\r\nhalf`, () => {
				const reset = (): void => {
					response.socket!.resetAndDestroy();
				};

				if (pauseMilliseconds === 0) {
					reset();
				} else {
					setTimeout(reset, pauseMilliseconds);
				}
			});
		});
		const answer = await exchangeRaw(gateway.address, post);
		await gateway.close();
		assert.ok(!answer.endsWith('0\r\n\r\n'), answer);
	});
}

test('an answer without a length that ends in order is complete', async () => {
	const gateway = await gatewayFor('non-idempotent');
	await gateway.addEndpoint((request, response) => {
		response.socket!.end(`HTTP/1.1 200 OK\r\n${names.attemptId}: a1\r\n${names.seal}: s\r\nconnection: close\r\n\r\nwhole`);
	});
	const answer = await exchangeRaw(gateway.address, post);
	await gateway.close();
	assert.equal(statusOf(answer), 200);
	assert.ok(answer.endsWith('0\r\n\r\n'), answer);
});

test('an answer that belongs to another request is not relayed, and its connection is not reused', async () => {
	// An endpoint sends its answer twice. The second copy arrives while the connection waits for the next request's answer.
	const gateway = await gatewayFor('non-idempotent');
	await gateway.addEndpoint((request, response) => {
		response.writeHead(200, {...sealedHeaders(request), [names.attemptId]: 'another'});
		response.end('not yours');
	});
	const answer = await exchangeRaw(gateway.address, post);
	await gateway.close();
	assert.equal(statusOf(answer), 502);
	assert.ok(!answer.includes('not yours'));
});

test('a success without a seal is not relayed', async () => {
	const gateway = await gatewayFor('non-idempotent');
	await gateway.addEndpoint((_request, response) => {
		response.writeHead(200, {[names.attemptId]: 'a1'});
		response.end('unsigned');
	});
	const answer = await exchangeRaw(gateway.address, post);
	await gateway.close();
	assert.equal(statusOf(answer), 502);
});

async function runsOf(kind: RouteKind, play: (request: IncomingMessage, response: ServerResponse, run: number) => void): Promise<{status: number; runs: number; answer: string}> {
	const gateway = await gatewayFor(kind);
	let runs = 0;
	const endpoint = (request: IncomingMessage, response: ServerResponse): void => {
		runs++;
		play(request, response, runs);
	};

	await gateway.addEndpoint(endpoint);
	await gateway.addEndpoint(endpoint);
	const answer = await exchangeRaw(gateway.address, post);
	await gateway.close();
	return {status: statusOf(answer), runs, answer};
}

test('a non-idempotent call is not retried when its answer is lost, and is not reported as not run', async () => {
	// The endpoint ran the booking and died before it answered. A retry, or a caller that reads "not run", would book again.
	const lost = await runsOf('non-idempotent', (_request, response) => {
		response.destroy();
	});
	assert.deepEqual([lost.status, lost.runs], [502, 1]);
});

test('a call that was rejected is sent to another endpoint, whatever its kind', async () => {
	const rejected = await runsOf('non-idempotent', (request, response, run) => {
		answerSealed(request, response, run === 1 ? {status: 503, headers: {[names.notExecuted]: '1'}} : {body: 'booked'});
	});
	assert.deepEqual([rejected.status, rejected.runs], [200, 2]);
});

test('a call that every endpoint rejected is refused as not run, with `Retry-After`', async () => {
	const rejected = await runsOf('non-idempotent', (request, response) => {
		answerSealed(request, response, {status: 503, headers: {[names.notExecuted]: '1'}});
	});
	assert.deepEqual([rejected.status, rejected.runs], [503, 2]);
	assert.match(rejected.answer, /retry-after: 0\.\d\d/iv);
});

test('a failed idempotent call is retried once at another endpoint; the second failure is relayed with its seal', async () => {
	const failed = await runsOf('idempotent', (request, response) => {
		answerSealed(request, response, {status: 500, body: 'broken'});
	});
	assert.deepEqual([failed.status, failed.runs], [500, 2]);
	assert.match(failed.answer, /savorygauge-seal: seal/v);
});

test('the timeout of the route ends a request immediately', async () => {
	const gateway = await gatewayFor('idempotent', {timeoutMilliseconds: 150});
	let isCut = false;
	await gateway.addEndpoint(request => {
		request.socket.once('close', () => {
			isCut = true;
		});
	});
	const startedAt = performance.now();
	const answer = await exchangeRaw(gateway.address, post);
	assert.equal(statusOf(answer), 504);
	assert.ok(performance.now() - startedAt < 600);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	assert.equal(isCut, true);
	await gateway.close();
});

for (const kind of ['stream', 'non-idempotent'] as const) {
	test(`a caller that disconnects ${kind === 'stream' ? 'cancels a stream' : 'does not cancel a non-idempotent call'}`, async () => {
		const gateway = await gatewayFor(kind);
		let isCut = false;
		let begin = (): void => undefined;
		const begun = new Promise<void>(resolve => {
			begin = resolve;
		});
		await gateway.addEndpoint((request, response) => {
			request.socket.once('close', () => {
				isCut = true;
			});
			begin();
			setTimeout(() => {
				if (!isCut) {
					answerSealed(request, response);
				}
			}, 300);
		});
		const socket = await openSocket(gateway.address);
		socket.write(post);
		await begun;
		socket.destroy();
		await new Promise(resolve => {
			setTimeout(resolve, 150);
		});
		assert.equal(isCut, kind === 'stream');
		await new Promise(resolve => {
			setTimeout(resolve, 250);
		});
		await gateway.close();
	});
}

test('an idle connection on which the endpoint sends unexpected bytes is closed', async () => {
	// After its complete answer the endpoint sends another one. The next request must not get it.
	const gateway = await gatewayFor('non-idempotent');
	let connections = 0;
	const seen = new Set();
	await gateway.addEndpoint((request, response) => {
		if (!seen.has(request.socket)) {
			seen.add(request.socket);
			connections++;
		}

		answerSealed(request, response, {headers: {'keep-alive': 'timeout=5'}, body: `own ${String(request.headers[names.attemptId])}`});
		setTimeout(() => {
			request.socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra');
		}, 20);
	});
	const socket = await openSocket(gateway.address);
	for (const id of ['a1', 'a2']) {
		socket.write(rawRequest({
			method: 'POST', path: '/', headers: {...headers, [names.attemptId]: id, connection: 'keep-alive'}, body: 'x',
		}));
		const text = await readUntil(socket, all => all.includes('own'));
		assert.ok(text.endsWith(`own ${id}`), text);
		await new Promise(resolve => {
			setTimeout(resolve, 60);
		});
	}

	socket.destroy();
	assert.equal(connections, 2);
	await gateway.close();
});
