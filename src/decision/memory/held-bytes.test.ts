import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type HeldAnswer, HeldBytes, minPausedMilliseconds} from './held-bytes.js';

const limits = {softBytes: 500, hardBytes: 1000, bodyBytes: 750};

function answer(name: string): HeldAnswer & {name: string} {
	return {name, bytes: 0, pausedAt: undefined};
}

function heldBytes(): HeldBytes<ReturnType<typeof answer>> {
	return new HeldBytes(limits);
}

test('above the soft limit answers are paused at once, and below it again at their own mark', () => {
	const held = heldBytes();
	const first = answer('first');
	held.count(first, 501);
	assert.equal(held.pausesAtOnce, true);
	held.count(first, 500);
	assert.equal(held.pausesAtOnce, false);
});

test('the answer that has been paused longest is ended, and only as many as are needed', () => {
	// Guards against the loss of an answer whose caller has just read.
	const held = heldBytes();
	const [first, second] = [answer('first'), answer('second')];
	for (const [index, each] of [first, second].entries()) {
		held.count(each, 500);
		held.pause(each, index);
	}

	held.resume(first);
	held.pause(first, 10);
	assert.equal(held.answerToEnd(0, 1000), undefined);
	assert.equal(held.answerToEnd(1, 1000), second);
	held.resume(second);
	held.count(second, 0);
	assert.equal(held.answerToEnd(1, 1000), undefined);
});

test('an answer whose caller has been read from a moment ago is not ended', () => {
	// A caller that reads empties its connection within a round trip; its answer is paused meanwhile too.
	const held = heldBytes();
	const first = answer('first');
	held.count(first, 1500);
	held.pause(first, 0);
	assert.equal(held.answerToEnd(0, minPausedMilliseconds - 1), undefined);
	assert.equal(held.answerToEnd(0, minPausedMilliseconds), first);
});

test('an answer that holds nothing is not ended, since that would free nothing', () => {
	const held = heldBytes();
	const [first, second] = [answer('first'), answer('second')];
	held.pause(first, 0);
	held.count(second, 1001);
	held.pause(second, 1);
	assert.equal(held.answerToEnd(0, 1000), second);
});

type Body = {displacementRank: number | undefined; dueAt: number};

function body(changes: Partial<Body> = {}): Body {
	return {displacementRank: 0, dueAt: 0, ...changes};
}

test('bodies leave room for answers, and get none above the hard limit', () => {
	// Guards against callers that send slowly and fill the memory: nobody else would get an answer.
	const held = heldBytes();
	const other = body();
	held.holdBody(other, 1);
	assert.ok(held.excessOfBody(undefined, 750) > 0);
	held.holdBody(other, 750);
	assert.ok(held.excessOfBody(undefined, 1) > 0);
	held.holdBody(other, 0);
	held.count(answer('first'), 900);
	assert.ok(held.excessOfBody(undefined, 100) <= 0);
	assert.ok(held.excessOfBody(undefined, 101) > 0);
});

test('the only body is taken however long it is, unless answers hold much', () => {
	// Guards against a request inside the limits that is never served on a machine with little memory.
	const held = heldBytes();
	assert.equal(held.excessOfBody(undefined, 5000), 0);
	const only = body();
	held.holdBody(only, 5000);
	assert.equal(held.excessOfBody(only, 6000), 0);
	assert.equal(held.excessOfBody(undefined, 1), 4251);
	held.holdBody(only, 0);
	held.count(answer('first'), 501);
	assert.ok(held.excessOfBody(undefined, 5000) > 0);
});

test('long bodies leave room for ordinary ones', () => {
	// Guards against a crowd of long bodies, of which some always arrive, that shuts out all others.
	const held = new HeldBytes({softBytes: 500_000, hardBytes: 1_000_000, bodyBytes: 750_000});
	const first = body({displacementRank: undefined});
	held.holdBody(first, 400_000);
	assert.ok(held.excessOfBody(undefined, 200_000) > 0);
	assert.ok(held.excessOfBody(undefined, 20_000) <= 0);
});

test('bodies that stand still are refused for others, and those that have arrived are not', () => {
	// Guards against bodies that stop short of their end and keep their memory for as long as a request may take.
	const held = heldBytes();
	const [arrived, moving, still] = [body({displacementRank: undefined}), body({dueAt: 300}), body({dueAt: 100})];
	for (const each of [arrived, moving, still]) {
		held.holdBody(each, 250);
	}

	assert.deepEqual(held.bodiesToRefuse(held.excessOfBody(undefined, 200), 200), [still]);
	assert.equal(held.bodiesToRefuse(held.excessOfBody(undefined, 300), 200), undefined);
	assert.deepEqual(held.bodiesToRefuse(held.excessOfBody(undefined, 300), 300), [still, moving]);
});
