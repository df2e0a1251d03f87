import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {streamKey, streamKeyBytes} from './stream-origin.js';

test('a stream has one key, of a fixed length', () => {
	assert.equal(streamKey('quarry', 'a1'), streamKey('quarry', 'a1'));
	assert.equal(Buffer.from(streamKey('quarry', 'a1'.repeat(500)), 'base64url').length, streamKeyBytes);
});

test('the key of a stream differs by workspace', () => {
	// Guards against a caller that takes up, or learns of, a stream of another workspace.
	const keys = [streamKey('quarry', 'a1'), streamKey('harbour', 'a1'), streamKey(undefined, 'a1'), streamKey('', 'a1'), streamKey('quarrya', '1'), streamKey('null', 'a1')];
	assert.equal(new Set(keys).size, keys.length);
});
