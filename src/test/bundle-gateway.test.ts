import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {
	readFileSync, rmSync, statSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';
import vm from 'node:vm';

/** The folder of the build that the tests run. */
const folder = 'dist';

function startWithoutSettings(program: string, ...flags: string[]): {status: number | null; output: string} {
	const {SAVORYGAUGE_BOOT: _, ...environment} = process.env;
	const {status, stdout, stderr} = spawnSync(process.execPath, [...flags, program], {env: environment, encoding: 'utf8'});
	return {status, output: stdout + stderr};
}

test('the gateway in one file starts as the compiled one does, and holds all of its libraries', () => {
	// A restarted instance must serve again within a second. Loading hundreds of files takes longer, hence the bundle. A
	// library that is missing from the bundle would otherwise be noticed only at its first call.
	execFileSync(process.execPath, ['scripts/bundle-gateway.mjs', folder]);
	assert.ok(statSync(`${folder}/gateway-bundle.cjs`).size > 100_000);
	const compiled = startWithoutSettings(`${folder}/gateway/main.js`);
	const bundled = startWithoutSettings(`${folder}/gateway.mjs`);
	assert.deepEqual(bundled, compiled);
	assert.match(bundled.output, /SAVORYGAUGE_BOOT.* is missing/v);
	assert.notEqual(bundled.status, 0);
});

test('a start uses the code cache and compiles nothing again', () => {
	// Guards against starts that take twice as long because the cache belongs to other code or to another version of Node.
	execFileSync(process.execPath, ['scripts/bundle-gateway.mjs', folder]);
	const source = `(function (exports, require, module) {${readFileSync(`${folder}/gateway-bundle.cjs`, 'utf8')}})`;
	const {cachedDataRejected} = new vm.Script(source, {cachedData: readFileSync(`${folder}/gateway-bundle.cache`)});
	assert.equal(cachedDataRejected, false);
	const launcher = readFileSync(`${folder}/gateway.mjs`, 'utf8');
	assert.ok(launcher.includes('\'(function (exports, require, module) {\' + readFileSync(file, \'utf8\') + \'})\''), 'the launcher wraps the code differently');
});

test('a code cache of other code is ignored', () => {
	execFileSync(process.execPath, ['scripts/bundle-gateway.mjs', folder]);
	writeFileSync(`${folder}/gateway-bundle.cache`, 'of another version');
	assert.match(startWithoutSettings(`${folder}/gateway.mjs`).output, /SAVORYGAUGE_BOOT.* is missing/v);
});

test('a code cache that another release of Node.js has written is not read', () => {
	// Guards against an upgrade of Node.js on a machine with an earlier build: the cache ends the process with a segmentation fault.
	execFileSync(process.execPath, ['scripts/bundle-gateway.mjs', folder]);
	rmSync(`${folder}/gateway-bundle.cache`);
	for (const [property, value] of [['version', 'v20.19.0'], ['arch', 'another']] as const) {
		const preload = `data:text/javascript,Object.defineProperty(process,'${property}',{value:'${value}'})`;
		assert.match(startWithoutSettings(`${folder}/gateway.mjs`, '--import', preload).output, /SAVORYGAUGE_BOOT.* is missing/v);
	}
});
