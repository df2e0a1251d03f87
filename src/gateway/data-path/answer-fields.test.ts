import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {AnswerFields, type AnswerFieldsResult} from './answer-fields.js';

function resultOf(text: string, pieceLength: number): AnswerFieldsResult {
	const fields = new AnswerFields();
	for (let offset = 0; offset < text.length; offset += pieceLength) {
		const result = fields.push(Buffer.from(text.slice(offset, offset + pieceLength), 'latin1'));
		if (result !== 'more') {
			return result;
		}
	}

	return 'more';
}

const interim = 'HTTP/1.1 103 Early Hints\r\nlink: x y\r\n\r\n';
const final = 'HTTP/1.1 200 OK\r\nx-note: a b: c\r\nx-empty:\r\n\r\n';

test('heads with names of fields are valid once the final one is complete, in pieces of any length', () => {
	for (let pieceLength = 1; pieceLength <= 150; pieceLength++) {
		for (const text of [final, interim + final, interim + interim + final, 'HTTP/1.0 404 Not Found\r\n\r\nx y: a', final + 'x y: body', final.replaceAll('\r\n', '\n')]) {
			assert.equal(resultOf(text, pieceLength), 'valid', `${JSON.stringify(text)} in pieces of ${pieceLength}`);
		}

		assert.equal(resultOf(interim, pieceLength), 'more');
		assert.equal(resultOf(final.slice(0, -2), pieceLength), 'more');
	}
});

test('a head with a name that is no token is invalid, also an interim one, in pieces of any length', () => {
	// Guards against answers of which each release of Node's parser makes something else.
	for (const field of ['x note: a', 'x-note : a', ': a', 'x-note', ' folded', 'x\tnote: a', 'x\0note: a', 'content-length : 2', 'x\u00E9: a', 'x\rnote: a']) {
		for (let pieceLength = 1; pieceLength <= 150; pieceLength++) {
			for (const text of [`HTTP/1.1 200 OK\r\nx: a\r\n${field}\r\n\r\n`, `HTTP/1.1 103 Early Hints\r\n${field}\r\n\r\n${final}`]) {
				assert.equal(resultOf(text, pieceLength), 'invalid', `${JSON.stringify(text)} in pieces of ${pieceLength}`);
			}
		}
	}
});

test('a long head is read to its end', () => {
	const long = `HTTP/1.1 200 OK\r\nx-note: ${'a'.repeat(5000)}\r\n`;
	assert.equal(resultOf(`${long}\r\n`, 100_000), 'valid');
	assert.equal(resultOf(`${long}x note: a\r\n\r\n`, 100_000), 'invalid');
});
