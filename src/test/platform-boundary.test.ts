import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';

/** The modules that assemble the programs, and a deployment of them for checks: only they may import from the platform's folder. */
const assemblers = new Set(['gateway/run-gateway.ts', 'check/gateway-deployment.ts']);
/** Names of the platform's protocol: paths of its calls, and names of its headers, rows and settings. */
const platformWords = new RegExp([
	'rows-(?:tx|get|feed|parts)',
	'blob-(?:put|get|drop|list)',
	'kv-(?:events|list|free|copy|move)',
	'op/config',
	'expected_rev',
	'x-(?:attempt-id|deadline-ms|credential|tenant|server-seal|kv-|expect-|prompt-prefix|token-count|cache-salt)',
	'x-(?:request-priority|weight-versions|not-executed|instance-id)',
	'boot_epoch',
	'SAVORYGAUGE_BOOT',
	'max_conns',
	'no_auth',
	'traffic_split',
].join('|'), 'iv');

const sources = readdirSync('src', {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts') && !file.startsWith('language/generated'))
	.map(file => ({file, text: readFileSync(`src/${file}`, 'utf8')}));

test('no module outside the platform\'s folder contains the platform\'s names', () => {
	const found = sources.filter(({file, text}) => !file.startsWith('platform/') && platformWords.test(text));
	assert.deepEqual(found.map(({file}) => file), []);
});

test('only the modules that assemble the programs import from the platform\'s folder', () => {
	const found = sources.filter(({file, text}) => !file.startsWith('platform/') && !assemblers.has(file) && /from '(?:\.\.\/)+platform\//v.test(text));
	assert.deepEqual(found.map(({file}) => file), []);
});

test('the platform\'s folder is at most a tenth of the code, and makes no decisions', () => {
	const linesOf = (chosen: typeof sources): number => chosen.reduce((sum, {text}) => sum + text.split('\n').length, 0);
	const inside = sources.filter(({file}) => file.startsWith('platform/'));
	assert.ok(linesOf(inside) * 10 <= linesOf(sources), `${linesOf(inside)} of ${linesOf(sources)} lines`);
	const deciding = inside.filter(({text}) => /from '(?:\.\.\/)+decision\//v.test(text) || /setTimeout|setInterval|Math\.random/v.test(text));
	assert.deepEqual(deciding.map(({file}) => file), []);
});
