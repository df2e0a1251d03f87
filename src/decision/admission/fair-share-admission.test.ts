import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PriorityClass} from '../../shared/types.js';
import {type AdmissionAction, type AdmissionRequest} from './admission-policy.js';
import {FairShareAdmission, overnightTurn, queueLimitRequests} from './fair-share-admission.js';
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

/** A policy with one place, which is taken. */
function busyPolicy(): FairShareAdmission {
	const policy = new FairShareAdmission();
	policy.setCapacity('permits', {places: 1, urgentPlaces: 1}, 0);
	assert.deepEqual(admittedIn(policy.arrive(requestOf('first', 'other', 'normal'), 0)), ['first']);
	return policy;
}

/** Lets requests end one after the other, and gives the order in which the waiting ones were let in. */
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

// A council sends a hundred checks, then a busker sends two. Served in order of arrival the busker would wait for all of
// the council's; served in turns by weight the busker is done after a few.
test('a small workspace is not stood behind the backlog of a large one', () => {
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

test('an urgent request goes first, and has a place of its own when all others are taken', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	assert.deepEqual(admittedIn(policy.arrive(requestOf('quay', 'busker', 'urgent'), 2)), ['quay']);
});

test('overnight work is served while normal work goes on waiting', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	for (let index = 0; index < 3 * overnightTurn; index++) {
		policy.arrive(requestOf(`draft-${index}`, 'busker', 'normal'), 2);
	}

	assert.ok(drain(policy, 'first').indexOf('check') <= overnightTurn);
});

test('overnight work that waited long is taken as normal work', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('check', 'council', 'overnight'), 1);
	policy.advance(ageingMilliseconds + 2);
	policy.arrive(requestOf('draft', 'busker', 'normal'), ageingMilliseconds + 3);
	assert.equal(drain(policy, 'first', ageingMilliseconds + 4)[0], 'check');
});

// Work ends at a known speed, and the queue is longer than the deadline allows. Said at once, the caller has all its time
// left to go elsewhere; said at the deadline, as a plain queue would, it has none.
test('what cannot make its deadline is refused on arrival, as not run, with a true time to come back', () => {
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
	assert.ok(wait > 10_000 && wait < 120_000, `told to come back after ${wait} ms; forty requests at one a second wait`);
});

test('a caller that hangs up leaves the queue, and its place is given on', () => {
	const policy = busyPolicy();
	policy.arrive(requestOf('gone', 'council', 'normal'), 1);
	policy.arrive(requestOf('stays', 'council', 'normal'), 2);
	assert.deepEqual(policy.cancel('gone', 3), []);
	assert.deepEqual(admittedIn(policy.cancel('first', 4)), ['stays']);
});

test('a flood fills the queue to its bound and pushes out its own requests, not those of others', () => {
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
// show that the service has recovered, unless the memory of the slow time fades by itself.
test('a service that was slow once does not refuse normal work for good', () => {
	const policy = busyPolicy();
	policy.firstToken('first', 60_000);
	policy.finish('first', 61_000);
	assert.equal(policy.arrive(requestOf('early', 'busker', 'normal', 64_000), 61_000)[0]?.kind, 'refuse');
	assert.equal(policy.arrive(requestOf('later', 'busker', 'normal', 164_000), 161_000)[0]?.kind, 'admit');
});
