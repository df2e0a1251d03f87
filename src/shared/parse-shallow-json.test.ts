import assert from 'node:assert/strict';
import {test} from 'node:test';
import {maxJsonDepth, parseShallowJson} from './parse-shallow-json.js';

const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth);

test('values that are nested too deeply are refused, whatever they are nested in', () => {
	assert.deepEqual(parseShallowJson('{"a":[1,{"b":null}]}'), {a: [1, {b: null}]});
	parseShallowJson(nested(maxJsonDepth));
	for (const text of [nested(maxJsonDepth + 1), nested(30_000), `{"a":${nested(maxJsonDepth)}}`, '{"a":'.repeat(5000) + '1' + '}'.repeat(5000)]) {
		assert.throws(() => parseShallowJson(text), SyntaxError);
	}
});

test('brackets in texts and beside each other do not count', () => {
	const text = JSON.stringify(['[{'.repeat(1000), String.raw`\"[`.repeat(1000), ...Array.from({length: 1000}, () => [])]);
	assert.equal((parseShallowJson(text) as unknown[]).length, 1002);
});

test('a text that is not JSON is refused', () => {
	for (const text of ['', '{', '"', '[1,]', '\\', ']'.repeat(5)]) {
		assert.throws(() => parseShallowJson(text), SyntaxError, text);
	}
});
