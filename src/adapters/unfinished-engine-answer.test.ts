import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {type EngineCall, type EngineEvent, type EngineFailure} from '../ports/model-engine.js';
import {writeRepeatedly, flood, startScriptedServer} from '../test/scripted-server.js';
import {HttpModelEngine} from './http-model-engine.js';

const engine = new HttpModelEngine();
const call: EngineCall = {
	requestId: 'r', attempt: 1, shape: 'text', body: {model: 'permit-1', prompt: 'hello', max_tokens: 8}, cacheSalt: 's', priority: 'normal', weightVersion: 'w1', tokensPassedOn: 0,
};
/** A round trip on loopback takes a few milliseconds; the margin is for a busy machine. */
const maxReportMilliseconds = 1000;
const releaseMilliseconds = 3000;

const serverBehaviours: Record<string, (socket: Socket) => void> = {
	stalls() {
		// Nothing follows.
	},
	drips(socket) {
		writeRepeatedly(socket, '5\r\nfull \r\n', 50);
	},
	floods(socket) {
		flood(socket, `8000\r\n${'f'.repeat(0x80_00)}\r\n`);
	},
};

async function collect(address: string): Promise<Array<EngineEvent | EngineFailure>> {
	const received: Array<EngineEvent | EngineFailure> = [];
	for await (const event of engine.complete(address, call, AbortSignal.timeout(8000))) {
		received.push(event.extract());
	}

	return received;
}

for (const [name, writeRest] of Object.entries(serverBehaviours)) {
	test(`a rejection is reported at once although its body ${name}`, async t => {
		// Guards against callers that wait for the body of a rejection, which is not used, while other engines are free.
		const server = await startScriptedServer(t, socket => {
			socket.write('HTTP/1.1 429 Too Many Requests\r\nretry-after: 2\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfull \r\n');
			writeRest(socket);
		});
		const sentAt = performance.now();
		const seen = await collect(server.address);
		const waited = performance.now() - sentAt;
		assert.deepEqual(seen, [{
			kind: 'refused', status: 429, detail: '', retryAfterMilliseconds: 2000,
		}]);
		assert.ok(waited < maxReportMilliseconds, `reported after ${waited} ms`);
		assert.equal(await server.allClosedWithin(releaseMilliseconds), true);
	});
}

for (const [name, writeRest] of Object.entries({
	...serverBehaviours, comments(socket: Socket) {
		writeRepeatedly(socket, '4\r\n:ok\n\r\n', 50);
	},
})) {
	test(`the connection of an engine whose answer continues after [DONE] is closed (${name})`, async t => {
		// Guards against connections to an engine that stay open after their callers have received complete answers.
		const events = 'data: {"choices":[{"text":"one"}],"token_index":0}\n\ndata: [DONE]\n\n';
		const server = await startScriptedServer(t, socket => {
			socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`);
			writeRest(socket);
		});
		const seen = await collect(server.address);
		assert.deepEqual(seen.map(({kind}) => kind), ['started', 'tokens', 'finished']);
		assert.equal(await server.allClosedWithin(releaseMilliseconds), true);
	});
}
