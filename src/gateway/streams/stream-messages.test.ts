import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {
	packAnswer, packRecord, packedRecordBytes, readRequest, unpackAnswer, unpackRecords, type PeerAnswer,
} from './stream-messages.js';
import {streamKey} from './stream-origin.js';

const key = streamKey('quarry', 'a1');
const origin = {service: 'chat', softwareVersion: '2.1'};

function transfer(value: unknown): unknown {
	return new FrameReader().read(encodeFrame(value)).unsafeCoerce()[0];
}

test('records are unpacked as they were packed, in full seconds', () => {
	const packed = Buffer.concat([packRecord({key, origin, remainingMilliseconds: 1500}, 7), packRecord({key, origin, remainingMilliseconds: 900_000}, 7)]);
	const request = readRequest(transfer(['put', packed]));
	assert.equal(request?.[0], 'put');
	assert.deepEqual(unpackRecords(packed, new Map([[7, origin]])), [{key, origin, remainingMilliseconds: 2000}, {key, origin, remainingMilliseconds: 120_000}]);
});

test('a frame with one record has 24 bytes', () => {
	assert.equal(encodeFrame(['put', packRecord({key, origin, remainingMilliseconds: 1500}, 7)]).length, 24);
});

test('malformed records are rejected', () => {
	const packed = packRecord({key, origin, remainingMilliseconds: 1500}, 7);
	assert.equal(unpackRecords(packed, new Map()), undefined, 'an origin that was not defined');
	assert.equal(unpackRecords(packed.subarray(1), new Map([[7, origin]])), undefined);
	assert.equal(unpackRecords(Buffer.alloc(0), new Map([[7, origin]])), undefined);
	assert.equal(packed.length, packedRecordBytes);
});

test('malformed requests are rejected', () => {
	const keyBytes = Buffer.from(key, 'base64url');
	assert.deepEqual(readRequest(transfer(['ask', keyBytes, 'chat'])), ['ask', keyBytes, 'chat']);
	assert.deepEqual(readRequest(['define', 3, 'chat', '']), ['define', 3, 'chat', '']);
	const malformed = [
		0,
		null,
		{},
		[],
		['ask', keyBytes],
		['ask', keyBytes.subarray(1), 'chat'],
		['ask', key, 'chat'],
		['ask', keyBytes, 'x'.repeat(201)],
		['define', 128, 'a', 'b'],
		['define', 1.5, 'a', 'b'],
		['define', 1, 'a'],
		['put', key],
		['later'],
	];
	for (const frame of malformed) {
		assert.equal(readRequest(frame), undefined, JSON.stringify(frame));
	}
});

test('answers are read as they were sent', () => {
	const answers: PeerAnswer[] = [
		{kind: 'unknown'},
		{kind: 'sole-version', softwareVersion: '2.1'},
		{kind: 'sole-version', softwareVersion: ''},
		{kind: 'known', record: {key, origin, remainingMilliseconds: 3000}},
	];
	for (const answer of answers) {
		assert.deepEqual(unpackAnswer(transfer(packAnswer(answer)), key), answer);
	}

	for (const frame of [1, null, [], [1], ['a', 'b'], ['a', 'b', -1], 'a']) {
		assert.equal(unpackAnswer(frame, key), undefined);
	}
});
