import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CostPlacement} from '../../decision/placement/cost-placement.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testConfiguration} from '../testing/test-configuration.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {EndpointPaths} from './endpoint-paths.js';
import {type ProbeResult} from './probe-connection.js';

const [first, second, third] = ['desk-1', 'desk-2', 'desk-3'].map((name, index) => testEndpoint({name, address: `127.0.0.1:${index + 1}`})) as [EndpointRecord, EndpointRecord, EndpointRecord];

/** Paths to three endpoints, with the results of connection attempts by address, or by name through a relay. */
function startPaths({direct = {}, relayed = {}, foreign = []}: {direct?: Record<string, ProbeResult>; relayed?: Record<string, ProbeResult>; foreign?: EndpointRecord[]}) {
	const state = {
		now: 0, direct, relayed, probed: [] as string[], asked: 0, faults: [] as unknown[], isThrowing: false,
	};
	const clock: MomentClock = {
		moment: () => ({steady: state.now, wall: state.now}),
		async sleep() {
			// Nothing under test sleeps.
		},
	};
	const paths = new EndpointPaths({
		clock,
		placement: new CostPlacement('split'),
		endpoints: {all: () => [...foreign, first, second, third]},
		configuration: {current: testConfiguration()},
		relays: {
			async probe({name}) {
				state.asked++;
				if (state.isThrowing) {
					throw new RangeError('no such port');
				}

				return state.relayed[name];
			},
		},
		log: {
			record(kind, {endpoint} = {}) {
				if (kind === 'fault') {
					state.faults.push(endpoint);
				}
			},
		},
		metrics: new GatewayMetrics(),
		async probe(address) {
			state.probed.push(address);
			return state.direct[address] ?? 'accepted';
		},
	});
	return {state, paths};
}

async function settle(paths: EndpointPaths): Promise<void> {
	await paths.settled([first, second, third]);
}

test('an endpoint that refuses this instance and accepts another has not ended', async () => {
	const {paths} = startPaths({direct: {[first.address]: 'refused'}, relayed: {[first.name]: 'accepted'}});
	assert.equal(await paths.reach(first), 'accepted');
});

test('an instance that no endpoint accepts blames none of them', async () => {
	const {paths} = startPaths({direct: {[first.address]: 'refused', [second.address]: 'refused', [third.address]: 'silent'}, relayed: {[first.name]: 'refused'}});
	assert.equal(await paths.reach(first), 'silent');
});

test('an endpoint that refuses all instances while others accept has ended', async () => {
	const {paths} = startPaths({direct: {[first.address]: 'refused', [second.address]: 'refused'}, relayed: {[first.name]: 'refused'}});
	assert.equal(await paths.reach(first), 'refused');
});

test('endpoints that end one after the other are all found to have ended', async () => {
	const {state, paths} = startPaths({direct: {[first.address]: 'refused'}, relayed: {[first.name]: 'refused', [second.name]: 'refused', [third.name]: 'refused'}});
	const results = [await paths.reach(first)];
	state.direct[second.address] = 'refused';
	results.push(await paths.reach(second));
	state.direct[third.address] = 'refused';
	results.push(await paths.reach(third));
	assert.deepEqual(results, ['refused', 'refused', 'refused']);
});

test('when others reach an endpoint, the links to all endpoints are examined at once', async () => {
	const {state, paths} = startPaths({
		direct: {[first.address]: 'silent', [second.address]: 'silent'}, relayed: {[first.name]: 'accepted', [second.name]: 'accepted', [third.name]: 'accepted'},
	});
	paths.noteNotConnected(first);
	await settle(paths);
	await settle(paths);
	assert.deepEqual(state.probed.toSorted(), [second.address, third.address]);
	assert.deepEqual([first, second, third].map(endpoint => paths.isRelayed(endpoint)), [true, true, false]);
	assert.equal(paths.withoutDirectPath, 2);
});

test('an endpoint that nobody reaches is not relayed, and no other link is suspected', async () => {
	const {state, paths} = startPaths({direct: {[first.address]: 'silent'}, relayed: {[first.name]: 'silent'}});
	paths.noteNotConnected(first);
	await settle(paths);
	assert.deepEqual([state.probed, paths.isRelayed(first)], [[], false]);
});

test('relays are asked ever less often about an endpoint that nobody reaches', async () => {
	const {state, paths} = startPaths({direct: {[first.address]: 'silent'}, relayed: {[first.name]: 'silent'}});
	for (; state.now < 60_000; state.now += 200) {
		paths.noteNotConnected(first);
		await settle(paths);
	}

	assert.ok(state.asked >= 8 && state.asked <= 14, `${state.asked} times in a minute`);
});

test('relays are asked again at once while none has answered', async () => {
	const {state, paths} = startPaths({direct: {[first.address]: 'silent'}});
	paths.noteNotConnected(first);
	await settle(paths);
	state.relayed = {[first.name]: 'accepted'};
	paths.noteNotConnected(first);
	await settle(paths);
	assert.ok(paths.isRelayed(first));
});

test('an endpoint that relays have ceased to reach still counts as one without a direct path', async () => {
	const {state, paths} = startPaths({
		direct: {[first.address]: 'refused', [second.address]: 'refused', [third.address]: 'refused'}, relayed: {[first.name]: 'accepted'},
	});
	paths.noteNotConnected(first);
	await settle(paths);
	await settle(paths);
	state.relayed = {[first.name]: 'silent'};
	paths.noteRelayFailed(first);
	await settle(paths);
	assert.equal(paths.withoutDirectPath, 1);
	assert.equal(paths.hasDirectPath(first), false);
});

test('an endpoint is reached directly again when its link is back, and the others are tried at once', async () => {
	const {state, paths} = startPaths({
		direct: {[first.address]: 'silent', [second.address]: 'silent'}, relayed: {[first.name]: 'accepted', [second.name]: 'accepted'},
	});
	paths.noteNotConnected(first);
	await settle(paths);
	await settle(paths);
	state.direct = {};
	state.now = 600;
	paths.step(state.now);
	await settle(paths);
	paths.step(state.now);
	await settle(paths);
	assert.deepEqual([first, second].map(endpoint => paths.isRelayed(endpoint)), [false, false]);
});

test('an examination that throws is recorded, and the endpoint is examined again', async () => {
	// Guards against a rejection that nothing handles, which ended the process with all of its requests.
	const {state, paths} = startPaths({direct: {[first.address]: 'silent'}, relayed: {[first.name]: 'accepted'}});
	state.isThrowing = true;
	paths.noteNotConnected(first);
	await settle(paths);
	assert.deepEqual(state.faults, [first.name]);
	state.isThrowing = false;
	paths.noteNotConnected(first);
	await settle(paths);
	assert.ok(paths.isRelayed(first));
});

test('entries of services that are not configured are neither examined nor witnesses of a failure of the own link', async () => {
	// Guards against a crash that is taken for a failure of the own link, since entries of other programs refuse connections as well.
	const foreign = [1, 2, 3].map(number => testEndpoint({name: `agent-${number}`, service: 'agent', address: `127.0.0.9:${number}`}));
	const refused = Object.fromEntries([...foreign, first].map(({address}) => [address, 'refused' as const]));
	const {state, paths} = startPaths({direct: refused, relayed: {[first.name]: 'refused', [second.name]: 'accepted'}, foreign});
	assert.equal(await paths.reach(first), 'refused');
	state.direct[second.address] = 'silent';
	paths.noteNotConnected(second);
	await settle(paths);
	paths.step(state.now);
	await settle(paths);
	assert.deepEqual(foreign.filter(({address}) => state.probed.includes(address)), []);
});
