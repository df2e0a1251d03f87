import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideOnSilence, type SilentAttempt} from './silent-attempt.js';

const waiting: SilentAttempt = {
	isUnreachable: false, isSilent: true, isUnresponsive: false, callerWaitedMilliseconds: 1900, eventTimeoutMilliseconds: 2000,
};

test('silence alone ends no attempt, however unusual it is', () => {
	assert.equal(decideOnSilence(waiting), 'wait');
	assert.equal(decideOnSilence({...waiting, isUnresponsive: true}), 'replace');
});

test('failed connections end no attempt; another endpoint is tried in addition', () => {
	assert.equal(decideOnSilence({...waiting, isUnreachable: true}), 'replace');
	assert.equal(decideOnSilence({...waiting, isUnreachable: true, isUnresponsive: true}), 'replace');
	assert.equal(decideOnSilence({...waiting, isUnreachable: true, isSilent: false}), 'wait');
});

test('an attempt at a silent endpoint ends when its caller cannot wait any longer', () => {
	assert.equal(decideOnSilence({...waiting, isUnresponsive: true, callerWaitedMilliseconds: 2251}), 'end-abandoned');
	assert.equal(decideOnSilence({...waiting, isUnresponsive: true, callerWaitedMilliseconds: 2250}), 'replace');
	assert.equal(decideOnSilence({...waiting, isSilent: false, callerWaitedMilliseconds: 1e6}), 'wait');
	assert.equal(decideOnSilence({...waiting, callerWaitedMilliseconds: 1e6, eventTimeoutMilliseconds: Number.POSITIVE_INFINITY}), 'wait');
});
