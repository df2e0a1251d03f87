import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideOnSilence, type SilentAttempt} from './silent-attempt.js';

const waiting: SilentAttempt = {
	failedConnections: 0, isUnresponsive: false, callerWaitedMilliseconds: 1900, callerPatienceMilliseconds: 2000,
};

test('silence alone ends no attempt, however unusual it is', () => {
	assert.equal(decideOnSilence(waiting), 'wait');
	assert.equal(decideOnSilence({...waiting, isUnresponsive: true}), 'replace');
});

test('one failed connection, whose packets may be lost, ends no attempt; two in a row do', () => {
	assert.equal(decideOnSilence({...waiting, failedConnections: 1}), 'replace');
	assert.equal(decideOnSilence({...waiting, failedConnections: 2}), 'end-unreachable');
});

test('an attempt ends when its caller does not wait any longer', () => {
	assert.equal(decideOnSilence({...waiting, isUnresponsive: true, callerWaitedMilliseconds: 2001}), 'end-abandoned');
	assert.equal(decideOnSilence({...waiting, callerWaitedMilliseconds: 1e6, callerPatienceMilliseconds: Number.POSITIVE_INFINITY}), 'wait');
});
