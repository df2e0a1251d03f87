import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {programVersion} from './program-version.js';

test('the programs report the version in package.json', async () => {
	const {version} = JSON.parse(await readFile('package.json', 'utf8')) as {version: string};
	assert.equal(programVersion, version);
});
