import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideNextStep, type TryState} from './next-step.js';

const state: TryState = {
	kind: 'idempotent', sends: 1, mostSends: 2, mayHaveRun: false, leftMilliseconds: 1000,
};
const always = (): boolean => true;

test('a call that may not run twice is repeated only while it surely has not run', () => {
	const booking: TryState = {...state, kind: 'non-idempotent'};
	assert.equal(decideNextStep('rejected', booking, always), 'repeat');
	assert.equal(decideNextStep('not-sent', {...booking, sends: 0}, always), 'repeat');
	assert.equal(decideNextStep('unknown', {...booking, mayHaveRun: true}, always), 'fail');
	assert.equal(decideNextStep('failed', {...booking, mayHaveRun: true}, always), 'pass-on');
	assert.equal(decideNextStep('rejected', {...booking, kind: 'stream', mayHaveRun: true}, always), 'fail');
});

test('"not run" is said only where no try may have run', () => {
	assert.equal(decideNextStep('rejected', {...state, sends: 2}, always), 'refuse');
	assert.equal(decideNextStep('rejected', {...state, sends: 2, mayHaveRun: true}, always), 'fail');
	assert.equal(decideNextStep('unknown', {...state, sends: 2, mayHaveRun: true}, always), 'fail');
});

test('a broken stream goes on elsewhere only where it may be resumed', () => {
	assert.equal(decideNextStep('cut', {...state, kind: 'resumable-stream', mayHaveRun: true}, always), 'resume');
	assert.equal(decideNextStep('cut', {...state, kind: 'stream', mayHaveRun: true}, always), 'break-off');
	assert.equal(decideNextStep('cut', {
		...state, kind: 'resumable-stream', sends: 2, mayHaveRun: true,
	}, always), 'break-off');
});

test('nothing goes on behind a failure that broke off', () => {
	assert.equal(decideNextStep('torn', {...state, kind: 'resumable-stream', mayHaveRun: true}, always), 'break-off');
});

test('repeats stop at the budget, the number of endpoints and the time left', () => {
	assert.equal(decideNextStep('rejected', state, () => false), 'refuse');
	assert.equal(decideNextStep('rejected', {...state, leftMilliseconds: 20}, always), 'refuse');
	assert.equal(decideNextStep('failed', {...state, mayHaveRun: true, sends: 2}, always), 'pass-on');
});

test('what never left needs no budget', () => {
	assert.equal(decideNextStep('not-sent', {...state, sends: 0}, () => false), 'repeat');
});

test('a plain answer that broke off behind its first bytes is not continued by another one', () => {
	// An endpoint dies in the middle of a lookup's answer. Asked again, another endpoint answers from the start, and the
	// caller would get that answer behind the part of the first one.
	assert.equal(decideNextStep('cut', {...state, mayHaveRun: true}, always), 'break-off');
});
