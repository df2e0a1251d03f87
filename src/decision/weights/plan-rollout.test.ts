import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {loadTimeoutMilliseconds, planRollout} from './plan-rollout.js';

const goal = {
	model: 'permit', version: 3, dueAt: 60_000, loadMilliseconds: 1000,
};
const engines = (versions: number[]) => versions.map((version, index) => testEndpoint({name: `e${index}`, weightVersions: new Map([['permit', version]])}));
const namesOf = (chosen: Array<{name: string}>): string[] => chosen.map(({name}) => name);

test('a quarter loads at a time, at least two, and never all', () => {
	assert.deepEqual(namesOf(planRollout(engines([1, 1, 1, 1, 1, 1]), goal, [], 0)), ['e0', 'e1']);
	assert.deepEqual(namesOf(planRollout(engines([1, 1]), goal, [], 0)), ['e0']);
	assert.equal(planRollout(engines(Array.from({length: 98}, () => 1)), goal, [], 0).length, 24);
});

test('engines that are loading count towards the limit, and the oldest weights go first', () => {
	assert.deepEqual(namesOf(planRollout(engines([2, 1, 3, 1, 1, 2]), goal, [{name: 'e1', since: 0}], 100)), ['e3']);
	assert.deepEqual(namesOf(planRollout(engines([3, 3, 3]), goal, [], 0)), []);
});

test('an order that shows no effect is sent again', () => {
	assert.deepEqual(namesOf(planRollout(engines([1, 3, 3]), goal, [{name: 'e0', since: 0}], loadTimeoutMilliseconds)), ['e0']);
});

test('engines that do not serve the model get no order', () => {
	assert.deepEqual(planRollout([testEndpoint()], goal, [], 0), []);
});

test('the less time is left, the more engines load at a time', () => {
	// The lease holder hung; its successor has as many engines to update and only a part of the time. At the usual rate
	// the last engines would still have the old weights when no run may start on them, and be idle until their turn. Half
	// of the engines still keep serving: if all loaded, every caller would be refused.
	const outdated = engines(Array.from({length: 13}, () => 1));
	assert.equal(planRollout(outdated, {...goal, dueAt: 6000}, [], 0).length, 3);
	assert.equal(planRollout(outdated, {...goal, dueAt: 6000}, [], 2900).length, 5);
	assert.equal(planRollout(outdated, {...goal, dueAt: 6000}, [{name: 'e0', since: 2900}], 2900).length, 4);
	assert.equal(planRollout(outdated, {...goal, dueAt: 6000}, [], 5900).length, 6);
	assert.equal(planRollout(outdated, {...goal, dueAt: 6000}, [], 7000).length, 6);
});
