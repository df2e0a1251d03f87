import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';
import {type HeldBody} from './held-body.js';
import {HeldMemory} from './held-memory.js';

const limits = {softBytes: 50_000, hardBytes: 100_000, bodyBytes: 75_000};

function createMemory(now: () => number): {memory: HeldMemory; ended: string[]} {
	const ended: string[] = [];
	const memory = new HeldMemory(limits, now, {
		onPaused() {
			// The tests do not wait for the next count.
		},
		onEnded(id) {
			ended.push(id);
		},
		onBodyRefused() {
			ended.push('body');
		},
	});
	return {memory, ended};
}

/** A response that holds what is written, since it has no connection yet. */
function unsentResponse(bytes: number): ServerResponse {
	const response = new ServerResponse(new IncomingMessage(new Socket()));
	response.write('x'.repeat(bytes));
	return response;
}

test('an answer is held back while it is paused and for a moment after a long pause, and not after a round trip', () => {
	// Guards against an endpoint that is taken for silent because a caller has just begun to read again, and against silent
	// endpoints that are noticed late because each chunk of a fast caller is paused for a moment.
	let now = 0;
	const {memory} = createMemory(() => now);
	const response = unsentResponse(1000);
	const answer = memory.answerTo(response, 'id');
	assert.equal(memory.isHeldBack(response), false);
	answer.noteWritten(true);
	assert.equal(memory.isHeldBack(response), true);
	now = 50;
	answer.noteRead();
	assert.equal(memory.isHeldBack(response), false);
	answer.noteWritten(true);
	now = 300;
	answer.noteRead();
	assert.equal(memory.isHeldBack(response), true);
	now = 1000;
	assert.equal(memory.isHeldBack(response), false);
});

test('a body for which there is no room is refused, and takes the place of the answer that has been paused longest', () => {
	let now = 0;
	const {memory, ended} = createMemory(() => now);
	for (const id of ['first', 'second']) {
		memory.answerTo(unsentResponse(45_000), id).noteWritten(true);
		now += 200;
	}

	assert.ok(memory.pausesAtOnce);
	assert.equal(memory.openBody(80_000), undefined, 'there is never room for so long a body');
	assert.deepEqual(ended, []);
	assert.equal(memory.openBody(1000), undefined);
	assert.deepEqual(ended, ['first']);
	assert.notEqual(memory.openBody(1000), undefined);
});

test('a response that is closed already is not counted', () => {
	// Guards against bytes that stay counted for ever: no further event of such a response follows.
	const {memory} = createMemory(() => 0);
	const response = unsentResponse(1000);
	response.destroy();
	memory.answerTo(response, 'id').noteWritten(true);
	assert.equal(memory.answerBytes, 0);
	assert.equal(memory.isHeldBack(response), false);
});

test('a body that stands still is refused when another one needs its memory, and one that arrives is not', () => {
	// Guards against a crowd whose bodies stop just short of their end: ordinary callers would be refused for as long as it stays.
	let now = 0;
	const {memory, ended} = createMemory(() => now);
	const refused: string[] = [];
	const open = (name: string): HeldBody | undefined => {
		const body = memory.openBody(0);
		body?.whenRefused(() => {
			refused.push(name);
		});
		return body;
	};

	const [still, moving] = [open('still')!, open('moving')!];
	assert.ok(still.hold(10_000) && moving.hold(10_000));
	assert.equal(memory.openBody(20_000), undefined);
	now = 1000;
	assert.ok(moving.hold(10_001));
	const ordinary = memory.openBody(20_000);
	assert.notEqual(ordinary, undefined);
	assert.deepEqual(refused, ['still']);
	assert.deepEqual(ended, ['body']);
	assert.equal(still.hold(10_001), false);
	ordinary!.release();
	moving.release();
	assert.equal(memory.bodyBytes, 0);
});
