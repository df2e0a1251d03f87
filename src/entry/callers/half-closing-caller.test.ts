import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Left} from 'purify-ts/Either';
import {rawRequest, statusOf} from '../../test/raw-http.js';
import {BoundedQueueAdmission} from '../../decision/admission/bounded-queue-admission.js';
import {LeastLoadedPolicy} from '../../decision/routing/least-loaded-policy.js';
import {HttpListener} from '../../serving/http-listener.js';
import {type CallerEnd, completeAnswers, SteeredCaller} from '../../test/steered-caller.js';
import {waitUntil} from '../../test/wait-until.js';
import {TestEntry, testEngines, testKey} from '../../test/test-entry.js';
import {NoCachedContext} from '../cache/cached-context.js';
import {AdmissionGate} from './admission-gate.js';
import {AtMostOnceRunner} from './at-most-once-runner.js';
import {CallerRoutes} from './caller-routes.js';
import {CompletionRunner} from './completion-runner.js';
import {PlainRoute} from './plain-route.js';

const lagMilliseconds = 400;
const noticeMilliseconds = 500;
const headers = {authorization: `Bearer ${testKey}`};

function prompt(changes: Record<string, unknown> = {}): string {
	return rawRequest({
		method: 'POST', path: '/v1/completions', headers, body: JSON.stringify({
			model: 'permit-1', prompt: 'hello', max_tokens: 2, ...changes,
		}),
	});
}

function plainCall(method: string, key?: string): string {
	return rawRequest({
		method, path: '/services/bookings/lookups', headers: {...headers, ...(key === undefined ? {} : {'idempotency-key': key})}, body: '{}',
	});
}

/** Requests, with the statuses of their answers. */
const requests: Record<string, {bytes: string; status: number}> = {
	'a prompt': {bytes: prompt(), status: 200},
	'a streamed prompt': {bytes: prompt({stream: true}), status: 200},
	'a plain call': {bytes: plainCall('PUT'), status: 201},
	'a plain call that is claimed': {bytes: plainCall('POST', 'k1'), status: 201},
	'a prompt that is refused': {bytes: prompt({model: 'none'}), status: 404},
	'a plain call that is refused': {bytes: plainCall('PUT').replace('bookings', 'none'), status: 404},
	'a request without a route': {bytes: rawRequest({method: 'GET', path: '/nothing'}), status: 404},
};

async function startEntry(t: TestContext, {hasLag}: {hasLag: boolean}): Promise<{entry: TestEntry; caller: SteeredCaller}> {
	const entry = new TestEntry();
	await entry.startWithTable();
	if (!hasLag) {
		entry.context.eventLoopLag = {current: 0};
	}

	const caller = await SteeredCaller.connect(entry.callersAddress);
	t.after(async () => {
		await caller.stop();
		await entry.stop();
	});
	return {entry, caller};
}

function pauseEngines(entry: TestEntry, afterTokens: number): void {
	for (const {name} of testEngines) {
		entry.engine.failNext(name, {kind: 'pause', afterTokens});
	}
}

async function assertAnswers(caller: SteeredCaller, statuses: number[]): Promise<void> {
	const received = await caller.answerUntil(text => completeAnswers(text).length >= statuses.length);
	assert.deepEqual(completeAnswers(received).map(answer => statusOf(answer)), statuses, `received: ${JSON.stringify(received)}`);
}

for (const [name, {bytes, status}] of Object.entries(requests)) {
	for (const hasLag of [true, false]) {
		test(`the sender of ${name} that half-closes gets its answer if its end waits behind the request (${hasLag ? 'with' : 'without'} a lag)`, async t => {
			// Guards against answers lost since the end of a sender that still reads is taken for a disconnect.
			const {caller} = await startEntry(t, {hasLag});
			caller.sendDuringLag(bytes, 'half-close', lagMilliseconds);
			await assertAnswers(caller, [status]);
		});
	}
}

for (const hasLag of [true, false]) {
	test(`a sender that half-closes with the last piece of its body gets its answer (${hasLag ? 'with' : 'without'} a lag)`, async t => {
		// Guards against answers lost if the body arrives in pieces and the end with the last one.
		const {caller} = await startEntry(t, {hasLag});
		const bytes = prompt();
		await caller.send(bytes.slice(0, -20));
		await caller.send(bytes.slice(-20, -10));
		caller.sendDuringLag(bytes.slice(-10), 'half-close', lagMilliseconds);
		await assertAnswers(caller, [200]);
	});

	test(`a sender that half-closes behind two pipelined requests gets both answers (${hasLag ? 'with' : 'without'} a lag)`, async t => {
		// Guards against the loss of the second answer, which is written after the end was read.
		const {caller} = await startEntry(t, {hasLag});
		caller.sendDuringLag(prompt() + prompt({prompt: 'again'}), 'half-close', lagMilliseconds);
		await assertAnswers(caller, [200, 200]);
	});

	test(`a sender that half-closes with its second request gets that answer (${hasLag ? 'with' : 'without'} a lag)`, async t => {
		// Guards against a loss on kept connections only.
		const {caller} = await startEntry(t, {hasLag});
		await caller.send(prompt());
		await assertAnswers(caller, [200]);
		caller.sendDuringLag(prompt({prompt: 'again'}), 'half-close', lagMilliseconds);
		await assertAnswers(caller, [200, 200]);
	});
}

for (const stream of [false, true]) {
	test(`a sender that half-closes before the first token gets its ${stream ? 'streamed ' : ''}answer`, async t => {
		// Guards against work cancelled by the end of a sender that waits for the answer.
		const {entry, caller} = await startEntry(t, {hasLag: false});
		pauseEngines(entry, 0);
		await caller.send(prompt({stream}));
		await entry.engine.halted();
		await caller.send('', 'half-close');
		entry.engine.resume();
		await assertAnswers(caller, [200]);
		assert.equal(entry.engine.cancelled, 0);
	});
}

test('a sender that half-closes within a streamed answer gets all of it', async t => {
	// Guards against streams cut off by the end of a sender that still reads.
	const {entry, caller} = await startEntry(t, {hasLag: false});
	pauseEngines(entry, 1);
	await caller.send(prompt({stream: true}));
	await entry.engine.halted();
	await caller.send('', 'half-close');
	entry.engine.resume();
	await assertAnswers(caller, [200]);
	assert.match(caller.answer, /\[DONE\]/v);
});

for (const end of ['close', 'reset'] satisfies CallerEnd[]) {
	for (const name of ['a prompt', 'a streamed prompt', 'a plain call']) {
		test(`${name} whose caller left during a lag is not sent on (${end})`, async t => {
			// Guards against work for callers that have closed their connections: here nothing was unread at the caller's.
			const {entry, caller} = await startEntry(t, {hasLag: true});
			caller.sendDuringLag(requests[name]!.bytes, end, lagMilliseconds);
			await pause(noticeMilliseconds);
			assert.equal(entry.engine.calls.length + entry.plain.calls.length, 0);
		});
	}

	for (const [stage, tokens] of [['before the first token', 0], ['within the answer', 1]] as const) {
		for (const stream of [false, true]) {
			test(`a ${stream ? 'streamed ' : ''}prompt is cancelled when its caller leaves ${stage} (${end})`, async t => {
				// Guards against work for nobody: the engine's call is cancelled though nothing was written since.
				const {entry, caller} = await startEntry(t, {hasLag: false});
				pauseEngines(entry, tokens);
				await caller.send(prompt({stream}));
				await entry.engine.halted();
				await caller.send('', end);
				await pause(noticeMilliseconds);
				const {cancelled} = entry.engine;
				entry.engine.resume();
				assert.equal(cancelled, 1);
			});
		}
	}

	test(`an idempotent plain call is cancelled when its caller leaves (${end})`, async t => {
		// Guards against plain calls that run on for nobody.
		const {entry, caller} = await startEntry(t, {hasLag: false});
		const release = new AbortController();
		let callSignal: AbortSignal | undefined;
		entry.context.plain = {
			async call(_address, _call, signal) {
				callSignal = signal;
				await once(AbortSignal.any([signal, release.signal]), 'abort');
				return Left({kind: 'outcome-unknown', detail: 'given up'});
			},
		};
		await caller.send(plainCall('PUT'));
		await waitUntil(() => callSignal?.aborted === false);
		await caller.send('', end);
		await pause(noticeMilliseconds);
		const isCancelled = callSignal?.aborted;
		release.abort();
		assert.equal(isCancelled, true);
	});
}

for (const end of ['close', 'reset'] satisfies CallerEnd[]) {
	test(`a prompt whose caller has left is not sent to a further engine (${end})`, async t => {
		// Guards against new work for nobody while it is not yet known whether a caller has closed or half-closed.
		const {entry, caller} = await startEntry(t, {hasLag: false});
		pauseEngines(entry, 0);
		await caller.send(prompt());
		await entry.engine.halted();
		await caller.send('', end);
		entry.engine.cutFirstHalted();
		await pause(noticeMilliseconds);
		assert.equal(entry.engine.calls.length, 1);
	});

	test(`a prompt whose caller left while it waited is not sent on (${end})`, async t => {
		// Guards against prompts that are admitted while it is not yet known whether their callers have closed or half-closed.
		const {entry} = await startEntry(t, {hasLag: false});
		const gate = new AdmissionGate(new BoundedQueueAdmission(), entry.clock);
		gate.setCapacity('permits', {maxRequests: 0, maxUrgentRequests: 0});
		const {app} = new CallerRoutes(entry.context, {
			gate,
			runner: new CompletionRunner(entry.context, new LeastLoadedPolicy(), new NoCachedContext()),
			plainRoute: new PlainRoute(entry.context, new AtMostOnceRunner(entry.context)),
		});
		const listener = new HttpListener('waiting-callers', app, '127.0.0.1:0');
		const caller = await SteeredCaller.connect(await listener.listen());
		t.after(async () => {
			await caller.stop();
			await listener.drain();
		});
		await caller.send(prompt());
		await waitUntil(() => gate.policy.waiting().length === 1);
		await caller.send('', end);
		gate.setCapacity('permits', {maxRequests: 1, maxUrgentRequests: 1});
		await pause(noticeMilliseconds);
		assert.equal(entry.engine.calls.length, 0);
	});

	test(`a plain call whose caller has left is not sent to a further endpoint (${end})`, async t => {
		// Guards against new calls for nobody while it is not yet known whether a caller has closed or half-closed.
		const {entry, caller} = await startEntry(t, {hasLag: false});
		entry.context.endpoints.applyList(['riva-plain-1', 'riva-plain-2'].map(name => ({
			name, role: 'plain-service', dataCentre: 'riva', service: 'bookings', address: name, peerAddress: '', state: 'live',
		})));
		const release = new AbortController();
		const addresses: string[] = [];
		entry.context.plain = {
			async call(called, _call, signal) {
				if (!signal.aborted) {
					addresses.push(called);
					await once(AbortSignal.any([signal, release.signal]), 'abort');
				}

				return Left({kind: 'not-sent', detail: 'refused'});
			},
		};
		await caller.send(plainCall('PUT'));
		await waitUntil(() => addresses.length === 1);
		await caller.send('', end);
		release.abort();
		await pause(noticeMilliseconds);
		assert.equal(addresses.length, 1);
	});
}
