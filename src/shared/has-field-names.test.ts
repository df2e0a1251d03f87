import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hasFieldNames} from './has-field-names.js';

test('values may contain what names may not', () => {
	assert.equal(hasFieldNames(['a', 'x y', 'b', '']), true);
	assert.equal(hasFieldNames(['a', 'x', 'b c', 'x']), false);
});
