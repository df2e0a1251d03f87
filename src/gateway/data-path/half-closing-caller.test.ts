import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {rawRequest, statusOf} from '../../test/raw-http.js';
import {type CallerEnd, completeAnswers, SteeredCaller} from '../../test/steered-caller.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const lagMilliseconds = 400;
const noticeMilliseconds = 500;
const body = 'data: first\n\ndata: last\n\n';
const firstLength = body.indexOf('data: last');

function requestBytes(id: string, host = 'quay.example'): string {
	return rawRequest({
		method: 'POST', path: '/', headers: {host, [names.attemptId]: id, [names.deadline]: '2000'}, body: 'a body of one line',
	});
}

type SceneOptions = {
	kind: RouteKind;
	hasLag: boolean;
	/** Whether the endpoint answers by itself. */
	answers: boolean;
};
type Exchange = {incoming: IncomingMessage; response: ServerResponse};

class Scene {
	/** Starts a gateway with one endpoint, and a caller that is connected to it. */
	static async start(t: TestContext, {kind, hasLag, answers}: SceneOptions): Promise<Scene> {
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
		if (!hasLag) {
			gateway.context.eventLoopLag = {current: 0};
		}

		const scene = new Scene(gateway, await SteeredCaller.connect(gateway.address));
		await gateway.addEndpoint((incoming, response) => {
			scene.#add({incoming, response});
			if (answers) {
				answerSealed(incoming, response, {body, headers: {'content-type': 'text/event-stream'}});
			}
		});
		t.after(async () => {
			await scene.caller.stop();
			await gateway.close();
		});
		return scene;
	}

	readonly exchanges: Exchange[] = [];
	readonly #arrive: Array<(exchange: Exchange) => void> = [];

	private constructor(readonly gateway: TestGateway, readonly caller: SteeredCaller) {
		// The endpoint is added by `start`.
	}

	/** Resolves when the endpoint has a request. */
	async arrival(): Promise<Exchange> {
		return this.exchanges[0] ?? new Promise(resolve => {
			this.#arrive.push(resolve);
		});
	}

	async assertAnswers(statuses: number[]): Promise<void> {
		const received = await this.caller.answerUntil(text => completeAnswers(text).length >= statuses.length);
		const answers = completeAnswers(received);
		assert.deepEqual(answers.map(answer => statusOf(answer)), statuses, `received: ${JSON.stringify(received)}`);
		for (const answer of answers.filter(whole => statusOf(whole) === 200)) {
			// A resumable stream is sent in chunks, one for each event.
			assert.match(answer, /data: first\n\n(?:\r\n\w+\r\n)?data: last\n\n/v);
		}
	}

	#add(exchange: Exchange): void {
		this.exchanges.push(exchange);
		for (const arrive of this.#arrive.splice(0)) {
			arrive(exchange);
		}
	}
}

function startAnswer({incoming, response}: Exchange): void {
	response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream', 'content-length': body.length});
	response.write(body.slice(0, firstLength));
}

for (const kind of ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'] satisfies RouteKind[]) {
	for (const hasLag of [true, false]) {
		const lagName = hasLag ? 'with a lag' : 'without a lag';

		test(`a sender that half-closes gets its answer if its end waits behind the request (${kind}, ${lagName})`, async t => {
			// Guards against answers lost since the end of a sender that still reads is taken for a disconnect.
			const scene = await Scene.start(t, {kind, hasLag, answers: true});
			scene.caller.sendDuringLag(requestBytes('a1'), 'half-close', lagMilliseconds);
			await scene.assertAnswers([200]);
		});

		test(`a sender that half-closes with the last piece of its body gets its answer (${kind}, ${lagName})`, async t => {
			// Guards against answers lost if the body arrives in pieces and the end with the last one.
			const scene = await Scene.start(t, {kind, hasLag, answers: true});
			const bytes = requestBytes('a1');
			await scene.caller.send(bytes.slice(0, -10));
			scene.caller.sendDuringLag(bytes.slice(-10), 'half-close', lagMilliseconds);
			await scene.assertAnswers([200]);
		});

		test(`a sender that half-closes behind two pipelined requests gets both answers (${kind}, ${lagName})`, async t => {
			// Guards against the loss of the second answer, which is written long after the end was read.
			const scene = await Scene.start(t, {kind, hasLag, answers: true});
			scene.caller.sendDuringLag(requestBytes('a1') + requestBytes('a2'), 'half-close', lagMilliseconds);
			await scene.assertAnswers([200, 200]);
		});

		test(`a sender that half-closes with its second request gets that answer (${kind}, ${lagName})`, async t => {
			// Guards against a loss on kept connections only.
			const scene = await Scene.start(t, {kind, hasLag, answers: true});
			await scene.caller.send(requestBytes('a1'));
			await scene.assertAnswers([200]);
			scene.caller.sendDuringLag(requestBytes('a2'), 'half-close', lagMilliseconds);
			await scene.assertAnswers([200, 200]);
		});

		test(`a sender that half-closes gets its refusal if its end waits behind the request (${kind}, ${lagName})`, async t => {
			// Guards against refusals lost with the end of their sender.
			const scene = await Scene.start(t, {kind, hasLag, answers: true});
			scene.caller.sendDuringLag(requestBytes('a1', 'unknown.example'), 'half-close', lagMilliseconds);
			await scene.assertAnswers([404]);
		});
	}

	test(`a sender that half-closes gets the refusal of a request without an endpoint (${kind})`, async t => {
		// Guards against a late refusal that is lost though an early one is not.
		const scene = await Scene.start(t, {kind, hasLag: true, answers: true});
		scene.gateway.context.endpoints.remove('desk-1', scene.gateway.context.clock.moment().steady);
		scene.caller.sendDuringLag(requestBytes('a1'), 'half-close', lagMilliseconds);
		await scene.assertAnswers([503]);
	});

	test(`a sender that half-closes while an endpoint works gets its answer (${kind})`, async t => {
		// Guards against work cancelled, or done for nothing, by the end of a sender that waits for the answer.
		const scene = await Scene.start(t, {kind, hasLag: false, answers: false});
		await scene.caller.send(requestBytes('a1'));
		const exchange = await scene.arrival();
		await scene.caller.send('', 'half-close');
		startAnswer(exchange);
		exchange.response.end(body.slice(firstLength));
		await scene.assertAnswers([200]);
	});

	test(`a sender that half-closes within its answer gets all of it (${kind})`, async t => {
		// Guards against answers cut off by the end of a sender that still reads.
		const scene = await Scene.start(t, {kind, hasLag: false, answers: false});
		await scene.caller.send(requestBytes('a1'));
		const exchange = await scene.arrival();
		startAnswer(exchange);
		await scene.caller.answerUntil(text => text.includes('data: first\n\n'));
		await scene.caller.send('', 'half-close');
		exchange.response.end(body.slice(firstLength));
		await scene.assertAnswers([200]);
	});

	test(`a sender that half-closes with its request gets all of its answer if the endpoint pauses within it (${kind})`, async t => {
		// Guards against answers with a stated length that are cut off at a pause, since no probe is possible within them.
		const scene = await Scene.start(t, {kind, hasLag: false, answers: false});
		await scene.caller.send(requestBytes('a1'), 'half-close');
		const exchange = await scene.arrival();
		startAnswer(exchange);
		await pause(2 * noticeMilliseconds);
		exchange.response.end(body.slice(firstLength));
		await scene.assertAnswers([200]);
	});

	for (const end of ['close', 'reset'] satisfies CallerEnd[]) {
		test(`a request whose caller left during a lag is not forwarded (${kind}, ${end})`, async t => {
			// Guards against work for callers that have closed their connections: here nothing was unread at the caller's.
			const scene = await Scene.start(t, {kind, hasLag: true, answers: true});
			scene.caller.sendDuringLag(requestBytes('a1'), end, lagMilliseconds);
			await pause(noticeMilliseconds);
			assert.equal(scene.exchanges.length, 0);
		});

		for (const isWithin of [false, true]) {
			test(`the end of a caller ${isWithin ? 'within' : 'before'} its answer ${kind === 'non-idempotent' ? 'leaves the call to finish' : 'cancels the work'} (${kind}, ${end})`, async t => {
				// Guards against work for nobody, and against calls left half done: nothing was written since the caller left.
				const scene = await Scene.start(t, {kind, hasLag: false, answers: false});
				await scene.caller.send(requestBytes('a1'));
				const exchange = await scene.arrival();
				if (isWithin) {
					startAnswer(exchange);
					await scene.caller.answerUntil(text => text.includes('data: first\n\n'));
				}

				await scene.caller.send('', end);
				await pause(noticeMilliseconds);
				assert.equal(exchange.incoming.socket.destroyed, kind !== 'non-idempotent');
			});
		}
	}
}

for (const end of ['close', 'reset'] satisfies CallerEnd[]) {
	test(`a request whose caller left while it waited for the coordinator is not forwarded (${end})`, async t => {
		// Guards against work for nobody while it is not yet known whether a caller has closed or half-closed.
		const gateway = await new TestGateway(testConfiguration({routes: [testRoute({carriesPrompt: true})]})).start();
		let runs = 0;
		await gateway.addEndpoint((incoming, response) => {
			runs++;
			answerSealed(incoming, response);
		});
		const caller = await SteeredCaller.connect(gateway.address);
		t.after(async () => {
			await caller.stop();
			await gateway.close();
		});
		// The first request leaves an open connection to the endpoint, so that the second could be written at once.
		await caller.send(requestBytes('a1'));
		await caller.answerUntil(text => completeAnswers(text).length > 0);
		const refreshed = new AbortController();
		gateway.context.peerUpdates = {
			...gateway.context.peerUpdates,
			async refresh() {
				await once(refreshed.signal, 'abort');
			},
		};
		await caller.send(requestBytes('a2'));
		caller.sendDuringLag('', end, 20);
		await afterNextPoll();
		refreshed.abort();
		await pause(noticeMilliseconds);
		assert.equal(runs, 1);
	});
}
