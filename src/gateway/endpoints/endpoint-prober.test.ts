import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {CostPlacement} from '../../decision/placement/cost-placement.js';
import {exchangeRaw} from '../../test/raw-http.js';
import {waitUntil} from '../../test/wait-until.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {requestBytes} from '../testing/leaving-callers.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {VirtualTime} from '../testing/virtual-time.js';
import {EndpointPaths} from './endpoint-paths.js';
import {EndpointProber} from './endpoint-prober.js';

test('an instance that reaches none of its endpoints says so in one line', async () => {
	const gateway = await new TestGateway().start();
	const stop = new AbortController();
	await gateway.addEndpoint(answerSealed);
	await gateway.addEndpoint(answerSealed);
	gateway.endEndpoint('desk-1');
	gateway.endEndpoint('desk-2');
	await exchangeRaw(gateway.address, requestBytes('first', {connection: 'close'}));
	const running = new EndpointProber(gateway.context).run(stop.signal);
	try {
		const reports = (): unknown[] => gateway.lines.filter(({kind}) => kind === 'endpoints-unreachable').map(({unreachable, listed}) => [unreachable, listed]);
		await waitUntil(() => reports().length > 0);
		assert.deepEqual(reports(), [[2, 2]]);
	} finally {
		stop.abort();
		await running;
		await gateway.close();
	}
});

/** A prober of one endpoint, in virtual time, and the placement that decides when to probe. */
function startProber(context: TestContext) {
	const time = new VirtualTime();
	const placement = new CostPlacement('split');
	const endpoint = testEndpoint({address: '127.0.0.1:1'});
	const state = {isUp: false, probes: [] as number[]};
	const paths = new EndpointPaths({
		clock: time.clock,
		placement,
		endpoints: {all: () => [endpoint]},
		configuration: {current: undefined},
		relays: {probe: async () => undefined},
		log: {
			record() {
				// The lines are not under test.
			},
		},
		metrics: new GatewayMetrics(),
		async probe() {
			state.probes.push(time.now);
			return state.isUp ? 'accepted' : 'refused';
		},
	});
	const stop = new AbortController();
	const running = new EndpointProber({clock: time.clock, paths}).run(stop.signal);
	context.after(async () => {
		stop.abort();
		await running;
	});
	return {
		time, placement, endpoint, paths, state,
	};
}

test('a failed connection is followed by probes within the usual intervals, until the endpoint is back', async context => {
	// Guards against an endpoint that stays unused although it is back, since the prober still waits as if all were reached.
	const {time, placement, endpoint, paths, state} = startProber(context);
	await time.pass(1010);
	const failedAt = time.now;
	paths.noteNotConnected(endpoint);
	placement.noteUnreachable(endpoint, failedAt);
	await time.pass(500);
	assert.ok(state.probes[0]! <= failedAt + 420, `probed at ${state.probes.join(' ')}, failed at ${failedAt}`);
	state.isUp = true;
	await time.pass(1300);
	assert.equal(paths.isUnreachable(endpoint), false);
	const probes = state.probes.length;
	await time.pass(3000);
	assert.equal(state.probes.length, probes);
});

test('an endpoint that became unreachable without a failed connection is probed', async context => {
	// Guards against a wait that only a failed connection ends: other outcomes of requests mark endpoints as unreachable too.
	const {time, placement, endpoint, state} = startProber(context);
	await time.pass(1010);
	const failedAt = time.now;
	placement.noteUnreachable(endpoint, failedAt);
	await time.pass(1000);
	assert.ok(state.probes[0]! <= failedAt + 820, `probed at ${state.probes.join(' ')}, failed at ${failedAt}`);
});

test('while all endpoints are reached there are fewer than two checks a second', async context => {
	const {time, state} = startProber(context);
	await time.pass(6000);
	assert.ok(time.sleeps <= 11, `${time.sleeps} checks`);
	assert.deepEqual(state.probes, []);
});
