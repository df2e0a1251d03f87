import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EngineEvent} from '../../ports/model-engine.js';
import {beginAttempt, emptyAnswer, relayEvent} from './stream-relay.js';

const tokenAt = (firstIndex: number): EngineEvent => ({
	kind: 'tokens', firstIndex, count: 1, text: `t${firstIndex} `,
});

test('an interrupted stream continues at exactly the next token, and events of the older attempt are dropped', () => {
	// The first endpoint sends tokens 0 and 1 and becomes unresponsive; the second continues at token 2; later the first
	// resumes and sends token 2 as well. Passing that on would show the caller a word twice.
	const first = beginAttempt(emptyAnswer);
	const afterZero = relayEvent(first, 1, tokenAt(0)).state;
	const afterOne = relayEvent(afterZero, 1, tokenAt(1)).state;
	const second = beginAttempt(afterOne);
	const resumed = relayEvent(second, 2, tokenAt(2));
	const late = relayEvent(resumed.state, 1, tokenAt(2));
	assert.deepEqual(resumed.action, {kind: 'pass-on', text: 't2 '});
	assert.deepEqual(late.action, {kind: 'drop'});
	assert.equal(late.state.tokensPassedOn, 3);
});

test('a token out of order is not passed on', () => {
	const {action, state} = relayEvent(beginAttempt(emptyAnswer), 1, tokenAt(1));
	assert.equal(action.kind, 'restart');
	assert.equal(state.tokensPassedOn, 0);
});

test('nothing is passed on after the end of the stream', () => {
	const finished: EngineEvent = {
		kind: 'finished', finishReason: 'stop', promptTokens: 1, cachedTokens: 0, completionTokens: 0,
	};
	const {state} = relayEvent(beginAttempt(emptyAnswer), 1, finished);
	assert.equal(state.isComplete, true);
	assert.deepEqual(relayEvent(state, 1, tokenAt(0)).action, {kind: 'drop'});
});
