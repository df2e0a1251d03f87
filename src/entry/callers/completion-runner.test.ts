/** The answer to a prompt when engines fail, hang, swap weights or reject it. The engine port is in memory. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LeastLoadedPolicy} from '../../decision/routing/least-loaded-policy.js';
import {type Refusal} from '../../shared/types.js';
import {engineTokenAt} from '../../stand-in/engine-token-at.js';
import {TestEntry} from '../../test/test-entry.js';
import {NoCachedContext} from '../cache/cached-context.js';
import {type AnswerSink, type CompletionJob} from './completion-job.js';
import {CompletionRunner} from './completion-runner.js';
import {type CompletionUsage} from './completion-writer.js';
import {callerTimeoutMilliseconds, tokenTimeoutMilliseconds, unresponsiveEndpointTimeoutMilliseconds} from './stream-watchdog.js';

const tokens = 6;
const [first, second] = ['riva-engine-1', 'riva-engine-2'] as const;

function textOf(weightVersion: string, count = tokens): string {
	return Array.from({length: count}, (_, index) => engineTokenAt(`${weightVersion}:user: hello`, index)).join('');
}

class RecordingSink implements AnswerSink {
	text = '';
	isDisconnected = false;
	readonly #canDiscard: boolean;

	constructor(canDiscard: boolean) {
		this.#canDiscard = canDiscard;
	}

	async write(text: string): Promise<void> {
		this.text += text;
	}

	discard(): boolean {
		this.text = this.#canDiscard ? '' : this.text;
		return this.#canDiscard;
	}

	disconnect(): void {
		this.isDisconnected = true;
	}
}

function setUp(options: {streamed: boolean}) {
	const entry = new TestEntry();
	entry.initialize();
	const {clock} = entry;
	const caller = new AbortController();
	const job = (): CompletionJob => ({
		request: {
			shape: 'chat', model: 'permit-1', stream: options.streamed, includeUsage: false, body: {model: 'permit-1', messages: [{role: 'user', content: 'hello'}], max_tokens: tokens},
		},
		route: {
			requestId: 'request-1', workspace: 'quay', service: 'permits', weightVersion: 'w1', priority: 'urgent', promptTokens: 3, deadline: clock.now() + 60_000,
		},
		dataCentres: [],
		prompt: 'user: hello',
		arrivedAt: clock.now(),
		signal: caller.signal,
		hasCallerDisconnected: async () => false,
	});
	const sink = new RecordingSink(!options.streamed);
	const runner = new CompletionRunner(entry.context, new LeastLoadedPolicy(), new NoCachedContext());
	return {
		entry, engine: entry.engine, clock, sink, caller, job, run: async () => runner.run(job(), sink),
	};
}

function refusalOf(result: CompletionUsage | Refusal): Refusal {
	assert.ok('reason' in result, 'the answer was accepted as complete');
	return result;
}

/** Advances the clock in small steps until the step returns true or the limit is reached. */
async function advanceInSteps(clock: TestEntry['clock'], limitMilliseconds: number, step: () => boolean): Promise<void> {
	for (let spent = 0; spent <= limitMilliseconds && !step(); spent += 500) {
		clock.advance(500);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

test('a stream whose endpoint fails continues at another endpoint from exactly the next token', async () => {
	// The caller reads two tokens before the endpoint's connection breaks. The other endpoint continues after token 2, and
	// the caller receives one text without a gap or a duplicate token.
	const {engine, sink, run} = setUp({streamed: true});
	engine.failNext(first, {kind: 'cut', afterTokens: 2});
	const usage = await run();
	assert.equal(sink.text, textOf('w1'));
	assert.ok('finishReason' in usage);
	assert.equal(usage.completionTokens, tokens);
	assert.deepEqual(engine.calls.map(({address, call}) => [address, call.attempt, call.tokensPassedOn]), [[first, 1, 0], [second, 2, 2]]);
});

for (const streamed of [true, false]) {
	test(`an answer without its end mark is never reported as complete (${streamed ? 'streamed' : 'not streamed'})`, async () => {
		// Every endpoint closes its connection after the last token but before the end mark. The text looks complete, but the
		// entry cannot know that, so the caller must receive the typed error.
		const {engine, sink, run} = setUp({streamed});
		engine.failNext(first, {kind: 'cut', afterTokens: 3});
		engine.failNext(second, {kind: 'cut', afterTokens: 5});
		const refusal = refusalOf(await run());
		assert.equal(refusal.ran, 'unknown');
		assert.equal(refusal.reason, streamed ? 'stream-cut' : 'endpoint-failed');
		assert.equal(sink.text, streamed ? textOf('w1', 5) : '');
	});
}

test('a stream that stalls with its connection open is detected by a timeout and continues at another endpoint', async () => {
	// The engine hangs: it sends no token and no error, and its connection stays open. Without a timeout the caller would
	// wait forever.
	const {engine, entry, sink, clock, run} = setUp({streamed: true});
	engine.failNext(first, {kind: 'stall', afterTokens: 2});
	const startedAt = clock.now();
	const running = run();
	await engine.halted();
	await advanceInSteps(clock, 60_000, () => {
		entry.reportEngines();
		return engine.cancelled > 0;
	});
	await running;
	assert.equal(sink.text, textOf('w1'));
	assert.equal(engine.cancelled, 1);
	assert.ok(clock.now() - startedAt <= tokenTimeoutMilliseconds + 1000);
});

test('an endpoint whose load reports are missing as well has a shorter timeout', async () => {
	const {engine, entry, sink, clock, run} = setUp({streamed: true});
	engine.failNext(first, {kind: 'stall', afterTokens: 2});
	const startedAt = clock.now();
	const running = run();
	await engine.halted();
	await advanceInSteps(clock, 20_000, () => {
		entry.reportEngine(second);
		return engine.cancelled > 0;
	});
	await running;
	assert.equal(sink.text, textOf('w1'));
	assert.ok(clock.now() - startedAt <= unresponsiveEndpointTimeoutMilliseconds + 1000);
});

test('a stream that has begun never continues under other weights', async () => {
	// The caller has read two tokens of w1 when its endpoint fails, and the only other endpoint runs w2. Continuing there
	// would join the output of two models in one text. The stream ends with a typed error, and nothing is sent there.
	const {engine, entry, sink, run} = setUp({streamed: true});
	engine.weightVersions.set(second, 'w2');
	entry.reportEngines();
	engine.failNext(first, {kind: 'cut', afterTokens: 2});
	const refusal = refusalOf(await run());
	assert.deepEqual([refusal.reason, refusal.ran], ['stream-cut', 'unknown']);
	assert.equal(sink.text, textOf('w1', 2));
	assert.equal(engine.calls.length, 1);
});

test('a weight swap that only the endpoint knows of is reported by it, and the stream ends with a typed error', async () => {
	const {engine, entry, sink, run} = setUp({streamed: true});
	engine.weightVersions.set(second, 'w2');
	entry.reportEngine(second, 'w1');
	engine.failNext(first, {kind: 'cut', afterTokens: 2});
	assert.equal(refusalOf(await run()).reason, 'stream-cut');
	assert.equal(sink.text, textOf('w1', 2));
	assert.equal(engine.calls.length, 2);
});

test('an answer of which the caller has received nothing is restarted under the new weights', async () => {
	const {engine, entry, sink, run} = setUp({streamed: false});
	engine.weightVersions.set(second, 'w2');
	entry.reportEngines();
	engine.failNext(first, {kind: 'cut', afterTokens: 2});
	const usage = await run();
	assert.ok('finishReason' in usage);
	assert.equal(sink.text, textOf('w2'));
});

test('full endpoints are excluded for their Retry-After time, and the refusal states when to retry', async () => {
	// Both engines answer with Retry-After. Nothing ran, so "not-run" is correct. The next caller is refused without another
	// attempt, until the shorter of the two times has passed.
	const {engine, entry, sink, clock, run} = setUp({streamed: true});
	const full = (retryAfterMilliseconds: number) => ({
		kind: 'fail' as const, failure: {
			kind: 'refused' as const, status: 429, detail: '', retryAfterMilliseconds,
		},
	});
	engine.failNext(first, full(2000));
	engine.failNext(second, full(5000));
	const refusal = refusalOf(await run());
	assert.deepEqual([refusal.reason, refusal.ran, refusal.retryAfterMilliseconds], ['overloaded', 'not-run', 2000]);
	assert.equal(refusalOf(await run()).reason, 'overloaded');
	assert.equal(engine.calls.length, 2);
	clock.advance(2000);
	entry.reportEngines();
	assert.ok('finishReason' in await run());
	assert.equal(engine.calls.at(-1)!.address, first);
	assert.equal(sink.text, textOf('w1'));
});

test('a prompt that the engine rejects as invalid is not sent to another endpoint', async () => {
	const {engine, run} = setUp({streamed: true});
	engine.failNext(first, {kind: 'fail', failure: {kind: 'refused', status: 400, detail: 'too long'}});
	const refusal = refusalOf(await run());
	assert.deepEqual([refusal.reason, refusal.ran, engine.calls.length], ['bad-request', 'not-run', 1]);
});

test('a refusal says "not-run" only if no engine can have started the prompt', async () => {
	const unreachable = {kind: 'fail' as const, failure: {kind: 'not-sent' as const, detail: ''}};
	const sent = setUp({streamed: true});
	sent.engine.failNext(first, unreachable);
	sent.engine.failNext(second, {kind: 'cut', afterTokens: 0});
	assert.equal(refusalOf(await sent.run()).ran, 'unknown');
	const unsent = setUp({streamed: true});
	unsent.engine.failNext(first, unreachable);
	unsent.engine.failNext(second, unreachable);
	assert.equal(refusalOf(await unsent.run()).ran, 'not-run');
});

test('a caller that stops reading is disconnected after a timeout, and its request is cancelled', async () => {
	const {engine, sink, clock, caller, run} = setUp({streamed: true});
	sink.write = async () => new Promise(resolve => {
		caller.signal.addEventListener('abort', () => {
			resolve();
		});
	});
	sink.disconnect = () => {
		caller.abort();
	};

	const running = run();
	await advanceInSteps(clock, callerTimeoutMilliseconds + 1000, () => caller.signal.aborted);
	const refusal = refusalOf(await running);
	assert.deepEqual([refusal.reason, refusal.ran, engine.calls.length], ['cancelled', 'unknown', 1]);
});
