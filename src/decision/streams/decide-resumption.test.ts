import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideResumption, type Origin, type ResumptionState} from './decide-resumption.js';

const state: ResumptionState = {
	service: 'desk', targets: ['desk', 'desk-next'], isListed: ({softwareVersion}) => softwareVersion === 'v1',
};
const known = (origin: Partial<Origin>): {kind: 'known'; origin: Origin} => ({kind: 'known', origin: {service: 'desk', softwareVersion: 'v1', ...origin}});

test('a stream goes on at the service that began it, although the traffic split now selects another', () => {
	assert.deepEqual(decideResumption(known({service: 'desk-next'}), state), {kind: 'continue', origin: {service: 'desk-next', softwareVersion: 'v1'}});
});

test('a stream of a service that the route has left is refused', () => {
	assert.deepEqual(decideResumption(known({service: 'former'}), state), {kind: 'refuse', reason: 'service-removed'});
});

test('a stream whose version has no endpoint left is refused', () => {
	assert.deepEqual(decideResumption(known({softwareVersion: 'v0'}), state), {kind: 'refuse', reason: 'version-gone'});
	assert.deepEqual(decideResumption({kind: 'sole-version', softwareVersion: ''}, state), {kind: 'refuse', reason: 'version-gone'});
});

test('a stream that nobody knows goes on only where one version alone can have begun it', () => {
	assert.deepEqual(decideResumption({kind: 'sole-version', softwareVersion: 'v1'}, state), {kind: 'continue', origin: {service: 'desk', softwareVersion: 'v1'}});
	assert.deepEqual(decideResumption({kind: 'unknown'}, state), {kind: 'refuse', reason: 'origin-unknown'});
});

test('a refusal says when more may be known, as far as it is known', () => {
	assert.deepEqual(decideResumption({kind: 'unknown', retryAfterMilliseconds: 1000}, state), {kind: 'refuse', reason: 'origin-unknown', retryAfterMilliseconds: 1000});
});
