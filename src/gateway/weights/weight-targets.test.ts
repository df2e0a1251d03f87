import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Moment} from '../../ports/moment-clock.js';
import {WeightTargets} from './weight-targets.js';

const switchoverMilliseconds = 6000;
const at = (milliseconds: number): Moment => ({steady: milliseconds, wall: milliseconds});

test('weights that were replaced long ago get no further time when newer ones are named', () => {
	// Guards against prompts on engines that missed a version: each further naming would let requests begin there for a whole
	// switchover time.
	const goals = new WeightTargets(switchoverMilliseconds);
	goals.add({model: 'lease', version: 2}, {observedAt: at(0), namedNotBefore: at(0)});
	goals.add({model: 'lease', version: 3}, {observedAt: at(13_000), namedNotBefore: at(13_000)});
	const goal = goals.targetFor('lease')!;
	assert.equal(goals.remainingMilliseconds(goal, at(14_000), 2), 5000);
	assert.ok(goals.remainingMilliseconds(goal, at(14_000), 1) <= 0);
});

test('weights replaced at an unknown time get no further time when newer ones are named', () => {
	// Guards against the same at an instance that has just started, and does not know since when the weights are named.
	const goals = new WeightTargets(switchoverMilliseconds);
	goals.add({model: 'lease', version: 2}, {observedAt: at(0), namedNotBefore: undefined});
	goals.add({model: 'lease', version: 3}, {observedAt: at(1000), namedNotBefore: at(1000)});
	assert.equal(goals.remainingMilliseconds(goals.targetFor('lease')!, at(2000), 1), 0);
});

test('of versions named in quick succession, each has the time of the first one that replaced it', () => {
	const goals = new WeightTargets(switchoverMilliseconds);
	for (const version of [2, 3, 4]) {
		const now = at(1000 * version);
		goals.add({model: 'lease', version}, {observedAt: now, namedNotBefore: now});
	}

	const goal = goals.targetFor('lease')!;
	assert.deepEqual([1, 2, 3].map(version => goals.remainingMilliseconds(goal, at(5000), version)), [3000, 4000, 5000]);
});
