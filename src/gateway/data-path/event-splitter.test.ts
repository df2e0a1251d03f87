import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {EventSplitter} from './event-splitter.js';

test('only complete events are returned, with the id of the last one', () => {
	const cutter = new EventSplitter();
	const first = cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	assert.equal(first.bytes.toString(), 'id: 1\ndata: a\n\n');
	assert.equal(first.lastId, '1');
	assert.equal(cutter.isAtBoundary, false);
	const second = cutter.push(Buffer.from('ta: b\n\n'));
	assert.equal(second.bytes.toString(), 'id: 2\ndata: b\n\n');
	assert.equal(cutter.lastId, '2');
	assert.equal(cutter.isAtBoundary, true);
});

test('the same events are returned wherever the bytes are split', () => {
	const whole = 'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';
	for (let cut = 1; cut < whole.length; cut++) {
		const cutter = new EventSplitter();
		const given = [whole.slice(0, cut), whole.slice(cut)].map(text => cutter.push(Buffer.from(text)).bytes.toString());
		assert.equal(given.join(''), whole);
		assert.equal(cutter.lastId, '3');
	}
});
