import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {EventBoundaryTracker} from './event-boundary-tracker.js';

function stopsWithinEvent(...chunks: string[]): boolean {
	const end = new EventBoundaryTracker();
	for (const chunk of chunks) {
		end.push(Buffer.from(chunk));
	}

	return end.stopsWithinEvent;
}

test('a stream stops within an event unless it ends with an empty line, wherever its chunks are split', () => {
	assert.equal(stopsWithinEvent(), false);
	assert.equal(stopsWithinEvent('id: 1\ndata: a\n\n'), false);
	assert.equal(stopsWithinEvent('id: 1\r\ndata: a\r\n\r\n'), false);
	assert.equal(stopsWithinEvent('id: 1\ndata: a\n', '\n'), false);
	assert.equal(stopsWithinEvent('data: a\r', '\n\r', '\n'), false);
	assert.equal(stopsWithinEvent('id: 1\ndata: a\n'), true);
	assert.equal(stopsWithinEvent('id: 1\ndata: a\n\n', 'i'), true);
	assert.equal(stopsWithinEvent('id: 1\r\ndata: a\r\n'), true);
	assert.equal(stopsWithinEvent('id: 1\rdata: a\r', '\r'), false);
	assert.equal(stopsWithinEvent('id: 1\rdata: a\r'), true);
});
