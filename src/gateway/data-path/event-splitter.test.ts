import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {seededRandom} from '../../peer/random/seeded-random.js';
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

test('ids and counts are those of the definition, whatever the lines; a stream would otherwise be resumed after a wrong event', () => {
	const random = seededRandom(3);
	const pieces = ['id:', 'id: ', 'id', ':', ' ', '7', 'a', 'data: x', '\n', '\n', '\n\n', '\r\n', '\r', '\nid: 12\n', '\n\n\n'];
	for (let round = 0; round < 3000; round++) {
		// Half of the streams have no carriage returns.
		const usable = round % 2 === 0 ? pieces.filter(piece => !piece.includes('\r')) : pieces;
		const splitter = new EventSplitter();
		let lastId: string | undefined;
		for (let chunk = 0; chunk < 3; chunk++) {
			const text = Array.from({length: 1 + Math.floor(random() * 9)}, () => usable[Math.floor(random() * usable.length)]).join('');
			const {bytes, count, lastId: given} = splitter.push(Buffer.from(text));
			const events = bytes.length === 0 ? [] : bytes.toString('latin1').split(/\r?\n\r?\n/v);
			for (const event of events) {
				lastId = /^id:[ ]?(?<id>.*)$/mv.exec(event)?.groups?.id?.trim() ?? lastId;
			}

			assert.equal(given, lastId);
			assert.equal(count, events.filter(event => event !== '').length);
		}
	}
});

test('a returned event keeps its bytes when later ones arrive', () => {
	const splitter = new EventSplitter();
	const {bytes} = splitter.push(Buffer.from('id: 1\n\nid: 2'));
	splitter.push(Buffer.from('\n\n'));
	assert.equal(bytes.toString(), 'id: 1\n\n');
});

test('an event without an end that arrives in small pieces is collected in less time than it takes to arrive', () => {
	// Guards against time that grows with what is held: a stream of 4 MB/s in such pieces blocked the process for seconds.
	const splitter = new EventSplitter();
	const piece = Buffer.alloc(65, 'g');
	const bytesPerMillisecond = 4000;
	const startedAt = performance.now();
	while (!splitter.isTooLong) {
		splitter.push(piece);
		assert.ok(performance.now() - startedAt < 1000 + (splitter.incompleteBytes / bytesPerMillisecond), `${splitter.incompleteBytes} bytes took ${performance.now() - startedAt} ms`);
	}
});

test('an event is the same in whatever pieces it arrives', () => {
	const event = `id: 7\ndata: ${'x'.repeat(9000)}\n\n`;
	for (const pieceBytes of [1, 9, 65, 2048, 4000]) {
		const splitter = new EventSplitter();
		const returned: string[] = [];
		for (let from = 0; from < event.length; from += pieceBytes) {
			returned.push(splitter.push(Buffer.from(event.slice(from, from + pieceBytes))).bytes.toString());
		}

		assert.equal(returned.join(''), event);
		assert.equal(splitter.lastId, '7');
	}
});

test('the bytes of an incomplete event are returned and dropped, in whatever pieces they arrived', () => {
	const splitter = new EventSplitter();
	for (const piece of ['id: 1\n\nid', ': 2', '\n', 'da']) {
		splitter.push(Buffer.from(piece));
	}

	assert.equal(splitter.flush().toString(), 'id: 2\nda');
	assert.equal(splitter.incompleteBytes, 0);
	assert.equal(splitter.push(Buffer.from('id: 2\n\n')).bytes.toString(), 'id: 2\n\n');
});
