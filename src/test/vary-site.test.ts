import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {execPath} from 'node:process';
import {test, type TestContext} from 'node:test';

const site = `name = "quay"
machines = [
  { class = "front", zone = "split", count = 7, spare = 2 },
]
services = [
  { name = "models", model = "llm", servers = [{ zone = "split", count = 3 }], slots = 64 },
  { name = "desk", servers = [{ zone = "split", count = 1 }], slots = 6 },
]

[timing]
version_ms = 10000
version_all_ms = 14000.0

[bounds]
drain_ms = 2000
fenced = false

[tenants]
count = 10

[[day]]
version_ms = 5
`;

function varied(context: TestContext, seed: string): {status: number | null; text: string} {
	const folder = mkdtempSync(join(tmpdir(), 'site-'));
	context.after(() => {
		rmSync(folder, {recursive: true});
	});
	const path = join(folder, 'site.toml');
	writeFileSync(path, site);
	const {status, stdout} = spawnSync(execPath, ['scripts/vary-site.mjs', path, seed], {encoding: 'utf8'});
	return {status, text: stdout};
}

test('the seed determines the variant of a deployment, and its engines check fencing numbers', context => {
	const first = varied(context, '1');
	assert.deepEqual(varied(context, '1'), first);
	assert.notEqual(varied(context, '2').text, first.text);
	assert.equal(first.status, 0);
	assert.match(first.text, /^fenced = true$/mv);
});

test('a variant has at least two instances and consistent integer bounds, and leaves everything else unchanged', context => {
	for (let seed = 0; seed < 20; seed++) {
		const {text} = varied(context, String(seed));
		const figure = (pattern: RegExp): number => Number(pattern.exec(text)?.[1]);
		assert.ok(figure(/class = "front", zone = "split", count = (\d+), spare = 2/v) >= 2);
		assert.ok(figure(/model = "llm", servers = \[\{ zone = "split", count = (\d+) \}\], slots = 64/v) >= 1);
		assert.ok(figure(/^version_all_ms = (\d+)$/mv) > figure(/^version_ms = (\d+)$/mv));
		assert.match(text, /name = "desk", servers = \[\{ zone = "split", count = 1 \}\]/v);
		assert.ok(text.endsWith('[[day]]\nversion_ms = 5\n'));
	}
});

test('a seed that is not an integer is refused', context => {
	assert.deepEqual(varied(context, 'x'), {status: 1, text: ''});
});
