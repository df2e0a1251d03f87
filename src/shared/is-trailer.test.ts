import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isTrailer} from './is-trailer.js';

test('a trailer contains named fields that do not frame the body', () => {
	assert.equal(isTrailer([]), true);
	assert.equal(isTrailer(['x-note', 'a']), true);
	assert.equal(isTrailer(['x note', 'a']), false);
	assert.equal(isTrailer(['x-note', 'a', 'Content-Length', '1']), false);
	assert.equal(isTrailer(['transfer-encoding', 'chunked']), false);
});
