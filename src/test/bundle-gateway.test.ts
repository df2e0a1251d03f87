import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {statSync} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';

/** Where the tests' own build lies. */
const folder = 'dist';

function startWithoutSettings(program: string): {status: number | null; output: string} {
	const {SAVORYGAUGE_BOOT: _, ...environment} = process.env;
	const {status, stdout, stderr} = spawnSync(process.execPath, [program], {env: environment, encoding: 'utf8'});
	return {status, output: stdout + stderr};
}

test('the gateway in one file starts as the compiled one does, and holds all of its libraries', () => {
	// An instance is restarted and must be back within a second. Loaded from hundreds of files a start takes longer, and a
	// library that is missing from the one file would only show when its first call is made.
	execFileSync(process.execPath, ['scripts/bundle-gateway.mjs', folder]);
	assert.ok(statSync(`${folder}/gateway.mjs`).size > 100_000);
	const compiled = startWithoutSettings(`${folder}/gateway/main.js`);
	const bundled = startWithoutSettings(`${folder}/gateway.mjs`);
	assert.deepEqual(bundled, compiled);
	assert.match(bundled.output, /SAVORYGAUGE_BOOT.* is missing/v);
	assert.notEqual(bundled.status, 0);
});
