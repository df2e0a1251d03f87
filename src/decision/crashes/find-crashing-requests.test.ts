import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {findCrashingRequests, type Crash} from './find-crashing-requests.js';

/** Crashes named a, b, c and so on, each with the requests in flight there and for how long. */
function crashesOf(...requests: Array<Record<string, number>>): Crash[] {
	return requests.map((inFlight, index) => ({incarnation: String.fromCodePoint(97 + index), requests: new Map(Object.entries(inFlight))}));
}

function blockedBy(crashes: Crash[]): string[] {
	return findCrashingRequests(crashes).map(({fingerprint}) => fingerprint);
}

test('a request is blocked once three endpoints have ended under it', () => {
	assert.deepEqual(blockedBy(crashesOf({poison: 1}, {poison: 1})), []);
	assert.deepEqual(blockedBy(crashesOf({poison: 1}, {poison: 1}, {poison: 1})), ['poison']);
});

test('requests that were beside the crashing one at some of its crashes are not blocked', () => {
	assert.deepEqual(blockedBy(crashesOf({poison: 9, beside: 1}, {poison: 9, beside: 1}, {poison: 9, beside: 1}, {poison: 9})), ['poison']);
});

test('of requests that were present at the same crashes, the one that ran for the shortest time is blocked', () => {
	assert.deepEqual(blockedBy(crashesOf({poison: 50, beside: 900}, {poison: 60, beside: 40}, {poison: 50, beside: 700})), ['poison']);
});

test('different requests that crash an endpoint once each do not block a request beside them at two of these crashes', () => {
	assert.deepEqual(blockedBy(crashesOf({one: 1, beside: 5}, {two: 1, beside: 5}, {three: 1})), []);
});

test('two requests that crash endpoints are both blocked, each by crashes of its own', () => {
	const crashes = crashesOf({first: 1}, {first: 1}, {first: 1}, {first: 1, second: 1}, {second: 1}, {second: 1}, {second: 1});
	assert.deepEqual(blockedBy(crashes).toSorted(), ['first', 'second']);
});

test('all instances block the same requests, in whichever order they learned of the crashes', () => {
	const crash = fc.dictionary(fc.constantFrom('r', 's', 't', 'u', 'v'), fc.integer({min: 0, max: 3}));
	fc.assert(fc.property(fc.array(crash, {maxLength: 12}), fc.integer({min: 0, max: 11}), (requests, shift) => {
		const crashes = crashesOf(...requests);
		const rotated = [...crashes.slice(shift), ...crashes.slice(0, shift)].map(({incarnation, requests: inFlight}) => ({incarnation, requests: new Map([...inFlight].toReversed())}));
		assert.deepEqual(blockedBy(rotated), blockedBy(crashes));
	}), {seed: 36, numRuns: 500});
});
