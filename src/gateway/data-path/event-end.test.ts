import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {EventEnd} from './event-end.js';

function isTorn(...chunks: string[]): boolean {
	const end = new EventEnd();
	for (const chunk of chunks) {
		end.take(Buffer.from(chunk));
	}

	return end.isTorn;
}

test('a stream stops within an event unless it ends with an empty line, wherever its chunks are split', () => {
	assert.equal(isTorn(), false);
	assert.equal(isTorn('id: 1\ndata: a\n\n'), false);
	assert.equal(isTorn('id: 1\r\ndata: a\r\n\r\n'), false);
	assert.equal(isTorn('id: 1\ndata: a\n', '\n'), false);
	assert.equal(isTorn('data: a\r', '\n\r', '\n'), false);
	assert.equal(isTorn('id: 1\ndata: a\n'), true);
	assert.equal(isTorn('id: 1\ndata: a\n\n', 'i'), true);
	assert.equal(isTorn('id: 1\r\ndata: a\r\n'), true);
	assert.equal(isTorn('id: 1\rdata: a\r', '\r'), false);
	assert.equal(isTorn('id: 1\rdata: a\r'), true);
});
