import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	findCrashCauses, isBlockedBy, type Crash, type RequestAtCrash,
} from './find-crash-causes.js';

function requestWith(features: string[], facts: Partial<RequestAtCrash> = {}): RequestAtCrash {
	return {
		features: new Set(features), workspace: 'own', inFlightMilliseconds: 1, progress: 'unanswered', ...facts,
	};
}

/** Crashes a second apart, each with the requests that were in flight there. */
function crashesWith(...requests: RequestAtCrash[][]): Crash[] {
	return requests.map((inFlight, index) => ({incarnation: `i${index}`, at: index * 1000, requests: inFlight}));
}

/** Crashes named a, b, c and so on, each with the requests in flight there and for how long. */
function crashesOf(...requests: Array<Record<string, number>>): Crash[] {
	return requests.map((inFlight, index) => ({
		incarnation: String.fromCodePoint(97 + index),
		at: 0,
		requests: Object.entries(inFlight).map(([fingerprint, milliseconds]) => requestWith([fingerprint], {inFlightMilliseconds: milliseconds})),
	}));
}

function blockedBy(crashes: Crash[]): string[] {
	return findCrashCauses(crashes).flatMap(({features}) => features);
}

test('a request is blocked once three endpoints have ended under it', () => {
	assert.deepEqual(blockedBy(crashesOf({crashing: 1}, {crashing: 1})), []);
	assert.deepEqual(blockedBy(crashesOf({crashing: 1}, {crashing: 1}, {crashing: 1})), ['crashing']);
});

test('requests that were beside the crashing one at some of its crashes are not blocked', () => {
	assert.deepEqual(blockedBy(crashesOf({crashing: 9, beside: 1}, {crashing: 9, beside: 1}, {crashing: 9, beside: 1}, {crashing: 9})), ['crashing']);
});

test('of requests that were present at the same crashes, the one that ran for the shortest time is blocked', () => {
	assert.deepEqual(blockedBy(crashesOf({crashing: 50, beside: 900}, {crashing: 60, beside: 40}, {crashing: 50, beside: 700})), ['crashing']);
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
		const rotated = [...crashes.slice(shift), ...crashes.slice(0, shift)].map(({requests: inFlight, ...named}) => ({...named, requests: inFlight.toReversed()}));
		assert.deepEqual(blockedBy(rotated), blockedBy(crashes));
	}), {seed: 36, numRuns: 500});
});

test('prompts that are all different are blocked by the block that they share once three endpoints have ended', () => {
	const crashes = crashesWith([requestWith(['1', 'block:bad'])], [requestWith(['2', 'block:bad'])], [requestWith(['3', 'block:bad'])]);
	assert.deepEqual(blockedBy(crashes.slice(0, 2)), []);
	assert.deepEqual(blockedBy(crashes), ['block:bad']);
});

test('prompts with only one of several blocks that no crash distinguishes are not blocked', () => {
	const crashes = crashesWith(...['1', '2', '3'].map(fingerprint => [requestWith([fingerprint, 'block:bad', 'block:beside'])]));
	const [cause] = findCrashCauses(crashes);
	assert.deepEqual(cause?.features, ['block:bad', 'block:beside']);
	assert.equal(isBlockedBy(cause, new Set(['4', 'block:bad', 'block:beside']), 'own'), true);
	assert.equal(isBlockedBy(cause, new Set(['4', 'block:beside']), 'own'), false);
	const fourth = {incarnation: 'fourth', at: 5000, requests: [requestWith(['4', 'block:bad'])]};
	assert.deepEqual(blockedBy([...crashes, fourth]), ['block:bad'], 'the next crash distinguishes them');
});

test('a block that is present at the same crashes in other prompts is not blocked in place of the one whose answers had just begun', () => {
	const crashes = crashesWith(...['1', '2', '3'].map(fingerprint => [
		requestWith([`${fingerprint}0`, 'block:popular']),
		requestWith([fingerprint, 'block:bad'], {progress: 'begun', inFlightMilliseconds: 900}),
	]));
	assert.deepEqual(blockedBy(crashes), ['block:bad']);
});

test('endpoints that end at the same moment do not block a block that prompts at all of them had', () => {
	const crashes = crashesWith(...['1', '2', '3', '4'].map(fingerprint => [requestWith([fingerprint, 'block:popular'])]));
	assert.deepEqual(blockedBy(crashes.map(crash => ({...crash, at: 100}))), []);
});

test('a request that returns in the same words is blocked alone, although it has blocks', () => {
	assert.deepEqual(blockedBy(crashesWith(...[1, 2, 3].map(() => [requestWith(['same', 'block:shared'])]))), ['same']);
});

test('prompts that were being answered are blocked by the block that they share once five endpoints have ended', () => {
	const crashes = crashesWith(...['1', '2', '3', '4', '5'].map(fingerprint => [requestWith([fingerprint, 'block:bad'], {progress: 'answering'})]));
	assert.deepEqual(blockedBy(crashes.slice(0, 4)), []);
	assert.deepEqual(blockedBy(crashes), ['block:bad']);
});

test('crashes at which prompts waited or had just begun and crashes under answers count together', () => {
	const crashes = crashesWith(...(['begun', 'answering', 'unanswered', 'answering'] as const).map((progress, index) => [requestWith([`${index}`, 'block:bad'], {progress})]));
	assert.deepEqual(blockedBy(crashes.slice(0, 3)), []);
	assert.deepEqual(blockedBy(crashes), ['block:bad']);
});

test('a sound request that was resumed after three crashes is not blocked while the block of the answers that ended there is still in doubt', () => {
	const crashes = crashesWith(...['1', '2', '3', '4'].map((fingerprint, index) => [
		requestWith([fingerprint, 'block:bad'], {progress: 'answering', inFlightMilliseconds: 90}),
		...(index < 3 ? [requestWith(['resumed'], {inFlightMilliseconds: 40})] : []),
	]));
	assert.deepEqual(blockedBy(crashes), []);
});

test('a request that returns in the same words and is being answered each time is blocked once three endpoints have ended', () => {
	assert.deepEqual(blockedBy(crashesWith(...[1, 2, 3].map(() => [requestWith(['same', 'block:shared'], {progress: 'answering'})]))), ['same']);
});

test('endpoints that end at the same moments do not block a block of answers that were in flight at all of them', () => {
	const crashes = crashesWith(...Array.from({length: 12}, (_, index) => [requestWith([`${index}`, 'block:popular'], {progress: 'answering'})]));
	assert.deepEqual(blockedBy(crashes.map((crash, index) => ({...crash, at: 1000 * (index % 4)}))), []);
});

test('the prompts of one workspace do not have those of another one refused that name the same block', () => {
	const crashes = crashesWith(...['1', '2', '3'].map(fingerprint => [requestWith([fingerprint, 'block:bad'], {workspace: 'first'})]));
	const [cause] = findCrashCauses(crashes);
	assert.equal(isBlockedBy(cause!, new Set(['4', 'block:bad']), 'first'), true);
	assert.equal(isBlockedBy(cause!, new Set(['4', 'block:bad']), 'second'), false);
	const [shared] = findCrashCauses([...crashes, {incarnation: 'fourth', at: 5000, requests: [requestWith(['4', 'block:bad'], {workspace: 'second'})]}]);
	assert.equal(isBlockedBy(shared!, new Set(['5', 'block:bad']), 'third'), true);
});
