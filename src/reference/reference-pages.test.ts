import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {referencePages} from './reference-pages.js';

for (const [file, expected] of Object.entries(referencePages())) {
	test(`${file} matches the definitions (npm run docs:settings updates it)`, async () => {
		assert.equal(await readFile(file, 'utf8'), expected);
	});
}
