import assert from 'node:assert/strict';
import {type IncomingMessage} from 'node:http';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	exchangeRaw, openSocket, rawRequest, readToEnd, readUntil, statusOf,
} from '../../test/raw-http.js';
import {ManualClock} from '../../test/manual-clock.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {type AnswerTransfer} from '../data-path/answer-transfer.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {
	answerSealed, sealedHeaders, TestGateway, type EndpointBehaviour,
} from '../testing/test-gateway.js';

const requestOf = (id: string): string => rawRequest({
	method: 'POST',
	path: '/',
	headers: {
		host: 'quay.example', [names.attemptId]: id, [names.deadline]: '2000', connection: 'close',
	},
	body: 'x',
});

const timeoutMilliseconds = 400;
/** In real time. A request that never ends fails its test instead of blocking the process. */
const callerTimeoutMilliseconds = 20_000;

/** A gateway's clock and timers stand still until `pass`: on a busy machine its requests are neither late nor expired. */
function mockTime(context: TestContext): {clock: MomentClock; pass: (milliseconds: number) => void} {
	context.mock.timers.enable({apis: ['setTimeout']});
	const {clock, advance} = manualClock();
	return {
		clock,
		pass(milliseconds) {
			advance(milliseconds);
			context.mock.timers.tick(milliseconds);
		},
	};
}

function manualClock(): {clock: MomentClock; advance: (milliseconds: number) => void} {
	const manual = new ManualClock(0);
	return {
		clock: {
			moment: () => ({steady: manual.now(), wall: manual.now()}),
			sleep: async (milliseconds, signal) => manual.sleep(milliseconds, signal),
		},
		advance(milliseconds) {
			manual.advance(milliseconds);
		},
	};
}

/** Sends one request through a gateway with at most one endpoint; returns its status, its answer and its log lines. */
async function linesOf(kind: RouteKind, behaviour: EndpointBehaviour | undefined, clock: MomentClock): Promise<{status: number; answer: string; lines: Array<Record<string, unknown>>}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind, timeoutMilliseconds})]}), undefined, undefined, clock).start();
	if (behaviour !== undefined) {
		await gateway.addEndpoint(behaviour);
	}

	const caller = await openSocket(gateway.address);
	caller.setTimeout(callerTimeoutMilliseconds, () => {
		caller.destroy();
	});
	const reading = readToEnd(caller);
	caller.write(requestOf('lost-1'));
	const answer = await reading;
	await gateway.close();
	return {status: statusOf(answer), answer, lines: gateway.lines.filter(({id}) => id === 'lost-1')};
}

test('the log lines of a refused request show its cause: no endpoint of the service is known', async context => {
	const {status, lines} = await linesOf('non-idempotent', undefined, mockTime(context).clock);
	assert.equal(status, 503);
	assert.deepEqual(lines.map(({kind, outcome, sends, service}) => ({
		kind, outcome, sends, service,
	})), [{
		kind: 'request-ended', outcome: 'refused', sends: 0, service: 'desk',
	}]);
});

test('the log lines of an aborted stream show its cause: the endpoint cut it, and its route does not allow resuming', async context => {
	const {status, lines} = await linesOf('stream', (request, response) => {
		response.writeHead(200, sealedHeaders(request));
		response.write('id: 1\ndata: a\n\n', () => {
			response.destroy();
		});
	}, mockTime(context).clock);
	assert.equal(status, 200);
	assert.equal((lines[0]?.transfer as AnswerTransfer).framing, 'chunked', 'shows that a response head was received, which `status` does not');
	assert.deepEqual(lines.map(({kind, endpoint, outcome, step}) => ({
		kind, endpoint, outcome, step,
	})), [
		{
			kind: 'try-failed', endpoint: 'desk-1', outcome: 'cut', step: 'break-off',
		},
		{
			kind: 'request-ended', endpoint: undefined, outcome: 'broken-off', step: undefined,
		},
	]);
});

test('the log lines of a booking answered 504 show its cause: the endpoint held it until the timeout, and it may have run', async context => {
	const {clock, pass} = mockTime(context);
	const {status, lines} = await linesOf('non-idempotent', () => {
		// The endpoint never answers.
		pass(timeoutMilliseconds);
	}, clock);
	assert.equal(status, 504);
	const [end] = lines;
	assert.equal(lines.length, 1);
	assert.deepEqual([end?.outcome, end?.endpoints, end?.status], ['timeout', ['desk-1'], 504]);
	assert.equal(end?.milliseconds, timeoutMilliseconds);
});

/** The head of an answer without a length: the end of the connection is its end. */
function headWithoutLength(request: IncomingMessage): string {
	const headers = Object.entries({...sealedHeaders(request), connection: 'close'});
	return `HTTP/1.1 200 OK\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

test('the log lines of half an answer show its cause: the endpoint reset its connection in the middle of it', async () => {
	// An endpoint sends the first bytes of an answer without a length. The caller gets them; then the endpoint fails and its
	// host resets the connection. The caller has a 200 and "half", and must be able to see that the rest is missing.
	const gateway = await new TestGateway(testConfiguration(), undefined, undefined, manualClock().clock).start();
	let resetEndpoint = (): void => {
		assert.fail('the caller received bytes before the endpoint sent any');
	};

	const {name} = await gateway.addEndpoint((request, response) => {
		resetEndpoint = () => {
			response.socket!.resetAndDestroy();
		};

		response.socket!.write(`${headWithoutLength(request)}half`);
	});
	const caller = await openSocket(gateway.address);
	caller.write(requestOf('half-1'));
	await readUntil(caller, text => text.includes('half'));
	resetEndpoint();
	const rest = await readToEnd(caller);
	await gateway.close();
	assert.ok(!rest.includes('0\r\n\r\n'), rest);
	const [failed, ended, ...others] = gateway.lines.filter(({id}) => id === 'half-1');
	assert.deepEqual([failed?.kind, failed?.endpoint, failed?.outcome, failed?.step], ['try-failed', name, 'cut', 'break-off']);
	assert.deepEqual(failed?.transfer, {
		connection: 'new', framing: 'connection', bodyBytes: 4, bodyEnd: 'reset',
	});
	assert.deepEqual([ended?.kind, ended?.outcome, ended?.status, ended?.endpoints, ended?.sends], ['request-ended', 'broken-off', 200, [name], 1]);
	assert.deepEqual(others, []);
});

test('the log lines of half an answer show its cause: the endpoint sent too little and marked that as the complete answer', async context => {
	const {answer, lines} = await linesOf('idempotent', (request, response) => {
		answerSealed(request, response, {body: 'half'});
	}, mockTime(context).clock);
	assert.ok(answer.endsWith('\r\n\r\nhalf'), answer);
	assert.deepEqual(lines.map(({kind, endpoint}) => ({kind, endpoint})), [{kind: 'request-served', endpoint: 'desk-1'}]);
});

test('the log lines of attempts with different ids show that they carry the same request, and that their endpoint ended', async () => {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'stream', maxAttempts: 1})]})).start();
	for (const id of ['first', 'second']) {
		const name = `endpoint-${id}`;
		await gateway.addEndpoint(() => {
			gateway.endEndpoint(name);
		}, {name});
		await exchangeRaw(gateway.address, requestOf(id));
	}

	const linesOfKind = (kind: string): Array<Record<string, unknown>> => gateway.lines.filter(line => line.kind === kind);
	while (linesOfKind('connections-lost').length < 2) {
		await delay(10);
	}

	await gateway.close();
	const attempts = linesOfKind('try-failed').filter(({outcome}) => outcome === 'unknown');
	assert.deepEqual(attempts.map(({id}) => id), ['first', 'second']);
	assert.equal(attempts[0]?.fingerprint, attempts[1]?.fingerprint);
	assert.deepEqual(linesOfKind('connections-lost').map(({endpoint, verdict}) => ({endpoint, verdict})), ['first', 'second'].map(id => ({endpoint: `endpoint-${id}`, verdict: 'crashed'})));
});
