import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PermitAnswer, type PermitQuery} from '../coordinator/coordinator-messages.js';
import {PermitGrants} from '../coordinator/permit-grants.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {WarmUpLimits} from './warm-up-limits.js';

const warming = testEndpoint({name: 'desk-1', startedAt: 5, warmUpMilliseconds: 3000});
const warm = testEndpoint({name: 'desk-1', startedAt: 5, warmUpMilliseconds: 0});

/** Limits of one instance in virtual time; `now` is set by the test. */
function startLimits(answer: (query: PermitQuery, now: number) => PermitAnswer | undefined, hasWarmUp = true) {
	const state = {now: 0, questions: 0};
	const limits = new WarmUpLimits({
		clock: {
			moment: () => ({steady: state.now, wall: state.now}),
			async sleep() {
				// Nothing waits in this test.
			},
		},
		log: {record: () => undefined},
		metrics: new GatewayMetrics(),
		permits: {
			async takePermit(query) {
				state.questions++;
				return answer(query, state.now);
			},
		},
		warmUpOf: () => hasWarmUp ? {milliseconds: 3000, requestsPerSecond: 10} : undefined,
		bound: {ratio: 1.5, extra: 5},
	});
	return {limits, state};
}

test('instances that share a coordinator send an endpoint that warms up no more than its bound', async () => {
	const grants = new PermitGrants();
	const instances = Array.from({length: 104}, () => startLimits((query, now) => grants.answer(query, now)));
	const sentAt: number[] = [];
	for (const {limits} of instances) {
		limits.noteRow(warming);
	}

	for (let now = 0; now < 3000; now += 5) {
		const {limits, state} = instances[now % instances.length]!;
		state.now = now;
		if (await limits.maySend(warming)) {
			sentAt.push(now);
		}
	}

	const most = Math.max(...sentAt.map(start => sentAt.filter(at => at >= start && at < start + 1000).length));
	assert.ok(most <= 20, `${most} within a second`);
	assert.ok(sentAt.length >= 0.68 * 20 * 3, `${sentAt.length} in three seconds`);
});

test('an instance that reaches no coordinator sends nothing to an endpoint that warms up, and does not ask for each request', async () => {
	const {limits, state} = startLimits(() => undefined);
	limits.noteRow(warming);
	for (let count = 0; count < 10; count++) {
		assert.equal(await limits.maySend(warming), false);
	}

	assert.equal(state.questions, 1);
	assert.ok(limits.isFull(warming));
});

test('an endpoint needs permits until it has warmed up, by its row or by the time that the row stated', async () => {
	const {limits, state} = startLimits(() => 'denied');
	limits.noteRow(warming);
	assert.ok(limits.isWarmingUp(warming));
	limits.noteRow(warm);
	assert.ok(!limits.isWarmingUp(warming));
	limits.noteRow(warming);
	state.now = 3001;
	assert.equal(await limits.maySend(warming), true);
});

test('an endpoint that turns cold again needs permits again, and another incarnation under its name has a state of its own', () => {
	const {limits} = startLimits(() => 'denied');
	limits.noteRow(warm);
	limits.noteRow(warming);
	assert.ok(limits.isWarmingUp(warming));
	assert.ok(!limits.isWarmingUp(testEndpoint({name: 'desk-1', startedAt: 6})));
});

test('an endpoint whose process may have ended needs permits before its row says that another process warms up', () => {
	const {limits, state} = startLimits(() => 'denied');
	limits.noteRow(warm);
	limits.noteLost(warm);
	assert.ok(limits.isWarmingUp(warm));
	state.now = 3001;
	assert.ok(!limits.isWarmingUp(warm));
});

test('endpoints of a service that declares no warm-up need no permits', async () => {
	const {limits, state} = startLimits(() => 'denied', false);
	limits.noteRow(warming);
	limits.noteLost(warming);
	assert.equal(await limits.maySend(warming), true);
	assert.equal(state.questions, 0);
});
