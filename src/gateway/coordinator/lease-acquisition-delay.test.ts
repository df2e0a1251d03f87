import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LeaseCandidate, leaseAcquisitionDelay} from './lease-acquisition-delay.js';

const suitable: LeaseCandidate = {
	cores: 1.35, maxCores: 1.35, holdsOtherLease: false, isCoLocated: false,
};

test('a large machine does not wait, and a small one waits for it', () => {
	// Guards against a coordinator on a machine that cannot answer all followers.
	assert.equal(leaseAcquisitionDelay(suitable), 0);
	assert.ok(leaseAcquisitionDelay({...suitable, cores: 0.324}) > 0);
});

test('where all machines are of one size none waits for the others, however small they are', () => {
	assert.equal(leaseAcquisitionDelay({...suitable, cores: 0.459, maxCores: 0.459}), 0);
});

test('before a coordinator has reported the largest machine, those with a whole core do not wait', () => {
	assert.equal(leaseAcquisitionDelay({...suitable, maxCores: 0}), 0);
	assert.ok(leaseAcquisitionDelay({...suitable, cores: 0.459, maxCores: 0}) > 0);
});

test('an instance with the other lease waits longer than all without one, also than small ones in the same data centre', () => {
	// Guards against a standby that fails together with the coordinator.
	const worstOther = leaseAcquisitionDelay({...suitable, cores: 0.1, isCoLocated: true});
	assert.ok(leaseAcquisitionDelay({...suitable, holdsOtherLease: true}) > worstOther);
});

test('an instance in the same data centre as the holder of the other lease waits', () => {
	assert.ok(leaseAcquisitionDelay({...suitable, isCoLocated: true}) > 0);
});
