import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Moment} from '../../ports/moment-clock.js';
import {WeightGoals} from './weight-goals.js';

const boundMilliseconds = 6000;
const at = (milliseconds: number): Moment => ({steady: milliseconds, wall: milliseconds});

test('weights that were replaced long ago get no further time when newer ones are named', () => {
	// Guards against prompts on engines that missed a version: each further naming would let requests begin there for a whole
	// switchover time.
	const goals = new WeightGoals(boundMilliseconds);
	goals.name({model: 'lease', version: 2}, {heardAt: at(0), namedSince: at(0)});
	goals.name({model: 'lease', version: 3}, {heardAt: at(13_000), namedSince: at(13_000)});
	const goal = goals.goalFor('lease')!;
	assert.equal(goals.leftOf(goal, at(14_000), 2), 5000);
	assert.ok(goals.leftOf(goal, at(14_000), 1) <= 0);
});

test('weights replaced at an unknown time get no further time when newer ones are named', () => {
	// Guards against the same at an instance that has just started, and does not know since when the weights are named.
	const goals = new WeightGoals(boundMilliseconds);
	goals.name({model: 'lease', version: 2}, {heardAt: at(0), namedSince: undefined});
	goals.name({model: 'lease', version: 3}, {heardAt: at(1000), namedSince: at(1000)});
	assert.equal(goals.leftOf(goals.goalFor('lease')!, at(2000), 1), 0);
});

test('of versions named in quick succession, each has the time of the first one that replaced it', () => {
	const goals = new WeightGoals(boundMilliseconds);
	for (const version of [2, 3, 4]) {
		const now = at(1000 * version);
		goals.name({model: 'lease', version}, {heardAt: now, namedSince: now});
	}

	const goal = goals.goalFor('lease')!;
	assert.deepEqual([1, 2, 3].map(version => goals.leftOf(goal, at(5000), version)), [3000, 4000, 5000]);
});
