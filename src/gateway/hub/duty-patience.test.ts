import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type DutyCandidate, dutyPatience} from './duty-patience.js';

const fit: DutyCandidate = {
	cores: 1.35, mostCores: 1.35, hasOtherDuty: false, isBesideOther: false,
};

test('a large machine does not wait, and a small one waits for it', () => {
	// Guards against a coordinator on a machine that cannot answer all followers.
	assert.equal(dutyPatience(fit), 0);
	assert.ok(dutyPatience({...fit, cores: 0.324}) > 0);
});

test('where all machines are of one size none waits for the others, however small they are', () => {
	assert.equal(dutyPatience({...fit, cores: 0.459, mostCores: 0.459}), 0);
});

test('before a coordinator has reported the largest machine, those with a whole core do not wait', () => {
	assert.equal(dutyPatience({...fit, mostCores: 0}), 0);
	assert.ok(dutyPatience({...fit, cores: 0.459, mostCores: 0}) > 0);
});

test('an instance with the other lease waits longer than all without one, also than small ones in the same data centre', () => {
	// Guards against a standby that fails together with the coordinator.
	const worstOther = dutyPatience({...fit, cores: 0.1, isBesideOther: true});
	assert.ok(dutyPatience({...fit, hasOtherDuty: true}) > worstOther);
});

test('an instance in the same data centre as the holder of the other lease waits', () => {
	assert.ok(dutyPatience({...fit, isBesideOther: true}) > 0);
});
