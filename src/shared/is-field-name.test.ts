import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isFieldName} from './is-field-name.js';

test('the name of a field is a token', () => {
	for (const name of ['a', 'Content-Length', 'x_note', '!#$%&\'*+-.^_`|~09azAZ']) {
		assert.equal(isFieldName(name), true, name);
	}

	for (const name of ['', ' a', 'a ', 'x note', 'a\t', 'a\0', 'a\u0001', 'a\u007F', '\u00E9', 'a:', '"a"', 'a\r', 'a/b']) {
		assert.equal(isFieldName(name), false, JSON.stringify(name));
	}
});
