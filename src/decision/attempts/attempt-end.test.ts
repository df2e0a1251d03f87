import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decideOnSilence, type SilentAttempt} from './attempt-end.js';

const silent: SilentAttempt = {
	hasProcessEnded: false, isUnresponsive: false, isUnreachable: false, isRetryable: true,
};

test('neither silence nor failed connections end an attempt; another endpoint is tried in addition', () => {
	assert.equal(decideOnSilence(silent), 'wait');
	assert.equal(decideOnSilence({...silent, isUnresponsive: true}), 'replace');
	assert.equal(decideOnSilence({...silent, isUnreachable: true}), 'replace');
	assert.equal(decideOnSilence({...silent, isUnresponsive: true, isUnreachable: true}), 'replace');
});

test('a silent attempt of a request that runs once at most has no replacement', () => {
	assert.equal(decideOnSilence({
		...silent, isUnresponsive: true, isUnreachable: true, isRetryable: false,
	}), 'wait');
});

test('a silent attempt ends when the process of its endpoint has', () => {
	assert.equal(decideOnSilence({...silent, hasProcessEnded: true}), 'end');
	assert.equal(decideOnSilence({...silent, hasProcessEnded: true, isRetryable: false}), 'end');
});
