/** Tests the HTTP client for engines against the stand-in engine: streams that are cut, cancelled or resumed. */
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {type EngineCall, type EngineEvent, type EngineFailure} from '../ports/model-engine.js';
import {engineAnswerTo} from '../stand-in/engine-token-at.js';
import {ModelEngineStandIn} from '../stand-in/model-engine-stand-in.js';
import {startStandIn, type StandIn} from '../stand-in/stand-in-server.js';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {HttpModelEngine} from './http-model-engine.js';

const engine = new HttpModelEngine();
const standIn = new ModelEngineStandIn({
	model: 'permit-1', weightVersion: 'w1', prefillTokensPerSecond: 1_000_000, millisecondsPerToken: 0, cachePieces: 4, batchLimit: 8,
});
const noFaults = {...standIn.faults};
const call: EngineCall = {
	requestId: 'r', attempt: 1, shape: 'text', body: {model: 'permit-1', prompt: 'hello', max_tokens: 8}, cacheSalt: 's', priority: 'normal', weightVersion: 'w1', tokensPassedOn: 0,
};
let running: StandIn;
let connections = 0;

before(async () => {
	running = await startStandIn(standIn, {host: '127.0.0.1', port: 0});
	running.server.on('connection', () => {
		connections++;
	});
});

after(async () => running.close());

type ReceivedStream = {text: string; tokens: number; firstIndex: number; end?: EngineEvent | EngineFailure};

async function collect(engineCall: EngineCall, faults: Partial<typeof noFaults> = {}, stopAfterTokens = Number.POSITIVE_INFINITY) {
	Object.assign(standIn.faults, noFaults, faults);
	const controller = new AbortController();
	const seen: ReceivedStream = {text: '', tokens: 0, firstIndex: -1};
	for await (const event of engine.complete(running.address, engineCall, controller.signal)) {
		const value = event.extract();
		seen.end = value;
		if (value.kind === 'tokens') {
			seen.firstIndex = seen.firstIndex === -1 ? value.firstIndex : seen.firstIndex;
			seen.text += value.text;
			seen.tokens += value.count;
		}

		if (seen.tokens >= stopAfterTokens) {
			controller.abort();
		}
	}

	return seen;
}

test('complete streams end with [DONE] and reuse their connection', async () => {
	await collect(call);
	const before = connections;
	for (let count = 0; count < 5; count++) {
		const seen = await collect(call);
		assert.equal(seen.text, engineAnswerTo('hello', 8));
		assert.equal(seen.tokens, 8);
		assert.equal(seen.end?.kind, 'finished');
	}

	// The end of an HTTP body may not have arrived when the next call starts, which needs a second connection.
	assert.ok(connections - before <= 1);
});

test('a stream that is cut fails as broken', async () => {
	// A truncated answer can end with a reset connection or with a regular end of the HTTP body. Neither has `[DONE]`.
	for (const cutCleanly of [false, true]) {
		const seen = await collect(call, {cutAfterTokens: 3, cutCleanly});
		assert.equal(seen.end?.kind, 'broken');
	}
});

test('a resumed stream starts at the first token that was not passed on', async () => {
	const seen = await collect({...call, tokensPassedOn: 5});
	assert.equal(seen.firstIndex, 5);
	assert.equal(seen.text, engineAnswerTo('hello', 8).split(' ').slice(5).join(' '));
});

test('aborting a stream cancels it at the engine, even while the engine sends nothing', async () => {
	const cancelledBefore = Number(standIn.counts().cancelled);
	const seen = await collect(call, {stallAfterTokens: 2}, 2);
	assert.equal(seen.end?.kind, 'broken');
	while (Number(standIn.counts().cancelled) === cancelledBefore) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

test('a rejection, another weight version and a closed port are distinct failures', async () => {
	const full = await collect(call, {refuseSeconds: 7});
	const swapped = await collect({...call, weightVersion: 'w0'});
	assert.deepEqual(full.end, {
		kind: 'refused', status: 429, detail: '', retryAfterMilliseconds: 7000,
	});
	assert.deepEqual(swapped.end, {kind: 'version-swapped', weightVersion: 'w1'});
	for await (const closed of engine.complete('127.0.0.1:1', call, new AbortController().signal)) {
		assert.equal((closed.extract() as EngineFailure).kind, 'not-sent');
	}
});

test('a truncated, unframed block is never exported', async t => {
	// Guards against a prompt that is answered from a state that no engine computed. If an engine fails while it exports a
	// block, the truncated block would be sealed over its own bytes in the store, and would pass every check when another
	// engine imports it.
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		const address = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of a piece', ending);
		for (let count = 0; count < 100; count++) {
			const exported = await engine.exportBlock(address, 'key');
			outcomes.add(`${ending}: ${exported.caseOf({Left: ({kind}) => kind, Right: String})}`);
		}
	}

	assert.deepEqual([...outcomes], connectionEndings.map(ending => `${ending}: broken`));
});

test('a stream that breaks while its caller is slow fails for this caller only', async t => {
	// Guards against all callers of an instance losing their answers at once. An engine that shuts down answers with
	// "connection: close", a caller reads so slowly that undici pauses the stream, and the connection ends. undici asserts
	// that a parser which it finishes is not paused, and throws the assertion error from a socket event, which ends the process.
	const events = Array.from({length: 3000}, (_, index) => `data: ${JSON.stringify({choices: [{text: 'w'.repeat(200)}], token_index: index})}\n\n`).join('');
	const chunk = `${events.length.toString(16)}\r\n${events}\r\n`;
	const bodies = [`\r\n${events}`, `transfer-encoding: chunked\r\n\r\n${chunk}`];
	for (const ending of connectionEndings) {
		for (const body of bodies) {
			const address = await startEndingServer(t, `HTTP/1.1 200 OK\r\nconnection: close\r\n${body}`, ending);
			const ends = await Promise.all(Array.from({length: 20}, async () => {
				let last: EngineEvent | EngineFailure | undefined;
				for await (const event of engine.complete(address, call, AbortSignal.timeout(5000))) {
					last = event.extract();
					await delay(40);
				}

				return last?.kind;
			}));
			assert.deepEqual(new Set(ends), new Set(['broken']));
		}
	}
});

test('a stream without [DONE] is broken, even if only the blank line after its last event is missing', async t => {
	const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
	const event = 'data: {"choices":[{"text":"one"}],"token_index":0}\n\n';
	for (const ending of connectionEndings) {
		for (const [body, expected] of [[event, 1], [event + event.replace('0', '1').slice(0, -1), 1], [`${event}data: [DONE]`, 1], [`${event}data: [DONE]\n`, 1]] as const) {
			const address = await startEndingServer(t, head + body, ending);
			for (let count = 0; count < 50; count++) {
				const kinds: string[] = [];
				for await (const received of engine.complete(address, call, new AbortController().signal)) {
					kinds.push((received.extract()).kind);
				}

				assert.deepEqual(kinds, ['started', ...Array.from({length: expected}, () => 'tokens'), 'broken']);
			}
		}
	}
});
