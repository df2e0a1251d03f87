import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {badUsageExitCode} from './read-settings.js';

type InvalidStart = {
	program: string;
	arguments: string[];
	findings: string[];
};

const missingFinding = (flag: string): string => `--${flag}: is missing; give it here or in SAVORYGAUGE_${flag.replaceAll('-', '_').toUpperCase()}`;
const invalidStarts: InvalidStart[] = [
	{
		program: 'entry',
		arguments: ['--listen', 'localhost:80', '--lissten', '127.0.0.1:1', '--log-level'],
		findings: [
			'--lissten: unknown flag',
			'127.0.0.1:1: unexpected argument',
			...['instance', 'data-centre'].map(flag => missingFinding(flag)),
			'--listen: "localhost:80" is not an IP:port',
			...['operator-key', 'cache-secret', 'table-address', 'object-address', 'list-address'].map(flag => missingFinding(flag)),
			'--log-level: needs a value',
		],
	},
	{
		program: 'operator',
		arguments: ['apply', 'no-such.yaml', '--agianst', '--against', '-3', '--operator-address', '127.0.0.1:99999'],
		findings: [
			'--agianst: unknown flag',
			'--reason: is missing',
			'--against: "-3" is not a whole number from 0 to 9007199254740991',
			'--operator-address: "127.0.0.1:99999" is not an IP:port',
			missingFinding('operator-key'),
		],
	},
	{program: 'operator', arguments: ['check', 'no-such.yaml'], findings: ['no-such.yaml:1:1: cannot be read: ENOENT: no such file or directory, open \'no-such.yaml\'']},
	{program: 'operator', arguments: ['show', 'last', '--operator-key', 'a-key-of-operators'], findings: ['VERSION: "last" is not a whole number from 1 to 9007199254740991']},
	{program: 'operator', arguments: ['ask', '--operator-key', 'a-key-of-operators'], findings: ['STATEMENT: is missing']},
	{
		program: 'timeline',
		arguments: ['paint', '--keep-events', 'many', '--port', '1'],
		findings: [
			'--port: unknown flag',
			'1: unexpected argument',
			'paint: is no command; expected collect, read, follow, draw',
			'--keep-events: "many" is not a whole number from 1000 to 5000000',
		],
	},
	{
		program: 'timeline',
		arguments: ['draw', '--output', 'a.png'],
		findings: ['--collector: give either this or --file', '--request: is missing', '--output: must end in .svg or .html'],
	},
];

for (const {program, arguments: given, findings} of invalidStarts) {
	test(`${program} ${given.join(' ')}: reports all findings, exits with status ${badUsageExitCode}, starts nothing`, () => {
		const path = fileURLToPath(new URL(`../${program}/main.js`, import.meta.url));
		const environment = Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('SAVORYGAUGE_')));
		const ended = spawnSync(process.execPath, [path, ...given], {encoding: 'utf8', env: environment, timeout: 20_000});
		assert.deepEqual(ended.stderr.trim().split('\n'), findings);
		assert.equal(ended.status, badUsageExitCode);
		assert.equal(ended.stdout, '');
	});
}
