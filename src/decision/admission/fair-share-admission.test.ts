import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PriorityClass} from '../../shared/types.js';
import {type AdmissionAction, type AdmissionRequest} from './admission-policy.js';
import {FairShareAdmission, overnightInterval, queueLimitRequests} from './fair-share-admission.js';
import {ageingMilliseconds} from './service-queue.js';

const far = 1e9;

function requestOf(requestId: string, workspace: string, priority: PriorityClass, deadline = far): AdmissionRequest {
	return {
		requestId, workspace, share: 1, service: 'permits', priority, promptTokens: 1000, deadline,
	};
}

function admittedIn(actions: readonly AdmissionAction[]): string[] {
	return actions.filter(({kind}) => kind === 'admit').map(({requestId}) => requestId);
}

/** A policy with capacity for one request, which is taken. */
function busyPolicy(): FairShareAdmission {
	const policy = new FairShareAdmission();
	policy.setCapacity('permits', {maxRequests: 1, maxUrgentRequests: 1}, 0);
	assert.deepEqual(admittedIn(policy.arrive(requestOf('first', 'other', 'normal'), 0)), ['first']);
	return policy;
}

/** Ends requests one after the other; returns the order in which the waiting ones were admitted. */
function drain(policy: FairShareAdmission, first: string, from = 1000): string[] {
	const order: string[] = [];
	let now = from;
	for (let running = [first]; running.length > 0;) {
		now += 100;
		running = admittedIn(policy.finish(running[0]!, now));
		order.push(...running);
	}

	return order;
}

// A council sends a hundred checks, and after them a busker sends two. In order of arrival the busker would wait for all
// of the council's; in turns by weight the busker is served after a few.
test('a small workspace does not wait for the whole backlog of a large one', () => {
	const policy = busyPolicy();
	for (let index = 0; index < 100; index++) {
		policy.arrive(requestOf(`council-${index}`, 'council', 'normal'), 1);
	}

	policy.arrive(requestOf('busker-0', 'busker', 'normal'), 2);
	policy.arrive(requestOf('busker-1', 'busker', 'normal'), 2);
	const order = drain(policy, 'first');
	assert.equal(order.length, 102);
	assert.ok(order.indexOf('busker-1') <= 4, `busker served at ${order.indexOf('busker-1')}`);
});

test('an urgent request goes first, and has capacity of its own when the rest is taken', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	assert.deepEqual(admittedIn(policy.arrive(requestOf('quay', 'busker', 'urgent'), 2)), ['quay']);
});

test('overnight work is served even while normal work keeps waiting', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	for (let index = 0; index < 3 * overnightInterval; index++) {
		policy.arrive(requestOf(`draft-${index}`, 'busker', 'normal'), 2);
	}

	assert.ok(drain(policy, 'first').indexOf('check') <= overnightInterval);
});

test('overnight work that has waited long counts as normal work', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	policy.advance(ageingMilliseconds + 2);
	policy.arrive(requestOf('draft', 'busker', 'normal'), ageingMilliseconds + 3);
	assert.equal(drain(policy, 'first', ageingMilliseconds + 4)[0], 'check');
});

// Work ends at a known rate, and the queue is longer than the deadline allows. Refused at once, the caller has all its
// time left to go elsewhere; refused at the deadline, as by a plain queue, it has none.
test('a request that cannot meet its deadline is refused on arrival, as not run, with a realistic retry delay', () => {
	const policy = busyPolicy();
	for (let index = 0; index < 50; index++) {
		policy.arrive(requestOf(`check-${index}`, 'council', 'normal'), 1);
	}

	let now = 1000;
	let [running] = admittedIn(policy.finish('first', now));
	for (let index = 0; index < 9; index++) {
		now += 1000;
		[running] = admittedIn(policy.finish(running!, now));
	}

	const [action] = policy.arrive(requestOf('late', 'council', 'normal', now + 5000), now);
	assert.ok(action?.kind === 'refuse');
	assert.equal(action.refusal.reason, 'deadline');
	assert.equal(action.refusal.ran, 'not-run');
	const wait = action.refusal.retryAfterMilliseconds!;
	assert.ok(wait > 10_000 && wait < 120_000, `retry after ${wait} ms, with forty requests waiting at one a second`);
});

test('a caller that disconnects leaves the queue, and its capacity goes to the next', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('gone', 'council', 'normal'), 1);
	policy.arrive(requestOf('stays', 'council', 'normal'), 2);
	assert.deepEqual(policy.cancel('gone', 3), []);
	assert.deepEqual(admittedIn(policy.cancel('first', 4)), ['stays']);
});

test('a flood fills the queue to its limit and drops its own requests, not those of others', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('busker', 'busker', 'normal'), 1);
	const refused: string[] = [];
	for (let index = 0; index < queueLimitRequests + 500; index++) {
		const actions = policy.arrive(requestOf(`flood-${index}`, 'flood', 'normal'), 2);
		refused.push(...actions.filter(({kind}) => kind === 'refuse').map(({requestId}) => requestId));
	}

	assert.equal(policy.waiting().length, queueLimitRequests);
	assert.ok(refused.every(requestId => requestId.startsWith('flood')));
});

// First tokens were slow for a while, so normal work with a short deadline is refused. With none admitted nothing would
// show that the service has recovered, unless the average decays by itself.
test('a service that was slow once admits normal work again', () => {
	const policy = busyPolicy();
	policy.firstToken('first', 60_000);
	policy.finish('first', 61_000);
	assert.equal(policy.arrive(requestOf('early', 'busker', 'normal', 64_000), 61_000)[0]?.kind, 'refuse');
	assert.equal(policy.arrive(requestOf('later', 'busker', 'normal', 164_000), 161_000)[0]?.kind, 'admit');
});
