import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type DutyCandidate, dutyPatience} from './duty-patience.js';

const fit: DutyCandidate = {
	cores: 1.35, mostCores: 1.35, hasOtherDuty: false, isBesideOther: false,
};

test('a large machine does not wait, and a small one lets it go first', () => {
	// Guards against a hub on a machine that cannot answer the others.
	assert.equal(dutyPatience(fit), 0);
	assert.ok(dutyPatience({...fit, cores: 0.324}) > 0);
});

test('where all machines are alike none waits for the others, however small they are', () => {
	assert.equal(dutyPatience({...fit, cores: 0.459, mostCores: 0.459}), 0);
});

test('before any hub has told of machines, those with a whole core go first', () => {
	assert.equal(dutyPatience({...fit, mostCores: 0}), 0);
	assert.ok(dutyPatience({...fit, cores: 0.459, mostCores: 0}) > 0);
});

test('an instance with the other duty comes behind all that have none, also small ones beside it', () => {
	// Guards against a deputy that fails together with the hub.
	const worstOther = dutyPatience({...fit, cores: 0.1, isBesideOther: true});
	assert.ok(dutyPatience({...fit, hasOtherDuty: true}) > worstOther);
});

test('an instance in another data centre than the other duty goes first', () => {
	assert.ok(dutyPatience({...fit, isBesideOther: true}) > 0);
});
