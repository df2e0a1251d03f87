import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {encodeFrame, frameLimitBytes, FrameReader} from './frame-codec.js';

test('frames are decoded whole, however the bytes are split', () => {
	const frames = Buffer.concat([encodeFrame({version: 1}), encodeFrame(['a', 2, true])]);
	const reader = new FrameReader();
	const values = [...frames].flatMap(byte => reader.read(Buffer.from([byte])).orDefault([]));
	assert.deepEqual(values, [{version: 1}, ['a', 2, true]]);
});

test('a frame over the limit is rejected before its body arrives', () => {
	const head = Buffer.alloc(4);
	head.writeUInt32BE(frameLimitBytes + 1, 0);
	const answer = new FrameReader().read(head);
	assert.deepEqual(answer.extract(), {kind: 'too-long', length: frameLimitBytes + 1});
});

test('frames are the same in whatever pieces they arrive', () => {
	const values = [{text: 'x'.repeat(9000)}, 1, 'y'.repeat(300), {}, ['z'.repeat(20_000)]];
	const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
	for (const pieceBytes of [1, 3, 65, 2048, 9005, 40_000]) {
		const reader = new FrameReader();
		const read: unknown[] = [];
		for (let from = 0; from < bytes.length; from += pieceBytes) {
			read.push(...reader.read(bytes.subarray(from, from + pieceBytes)).orDefault([]));
		}

		assert.deepEqual(read, values, `pieces of ${pieceBytes} bytes`);
	}
});

test('a frame that arrives a byte at a time is collected in time that is proportional to its length', () => {
	// Guards against joining all bytes of an incomplete frame with each piece, which blocked the process for seconds.
	const head = Buffer.alloc(4);
	head.writeUInt32BE(frameLimitBytes, 0);
	const reader = new FrameReader();
	reader.read(head);
	const byte = Buffer.from('a');
	const startedAt = performance.now();
	for (let count = 1; count < frameLimitBytes; count++) {
		reader.read(byte);
		assert.ok(performance.now() - startedAt < 5000, `${count} bytes took ${performance.now() - startedAt} ms`);
	}
});

test('a map is decoded as an object', () => {
	// Guards against loads that a follower of an earlier release cannot read: by default cbor-x tags a map, and its reader returns
	// one.
	const frame = encodeFrame({loads: new Map([['e1', [1, 2]], ['e2', [3]]]), tables: new Map()});
	assert.deepEqual(new FrameReader().read(frame).extract(), [{loads: {e1: [1, 2], e2: [3]}, tables: {}}]);
});
