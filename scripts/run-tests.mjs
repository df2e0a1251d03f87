// Runs the compiled tests with node:test and prints the counts as the last line. The list of test files is taken from
// src/, so that compiled files in dist/ whose sources were deleted are not run.
// KNOWN-RED.txt lists tests (by the text before the first ` | `) that may fail; they are printed. Any other failure sets
// the exit status.
import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const wanted = process.argv.slice(2);
const isSpecification = file => file.includes('check/models');
const foundFiles = readdirSync('src', {recursive: true})
	.filter(file => file.endsWith('.test.ts'))
	.filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)))
	.map(file => `dist/${file.replace(/\.ts$/v, '.js')}`)
	.toSorted();
// The specifications are checked by spin, which generates and compiles a C program. On a machine without spin or gcc all
// other tests run, and the end of the output names what was left out. With DEMAND_SPECIFICATIONS a missing tool is an
// error, which is thrown before the tests start, since they take minutes.
const missingTools = foundFiles.some(file => isSpecification(file))
	? ['spin', 'gcc'].filter(tool => spawnSync(tool, ['--version'], {stdio: 'ignore'}).error !== undefined)
	: [];
const remedy = `${missingTools.join(' and ')} must be installed to check the specifications in model/; on Debian: apt-get install spin gcc libc6-dev`;
if (missingTools.length > 0 && process.env.DEMAND_SPECIFICATIONS !== undefined) {
	throw new Error(remedy);
}

const testFiles = missingTools.length > 0 ? foundFiles.filter(file => !isSpecification(file)) : foundFiles;
const leftOutSpecifications = missingTools.length > 0 ? readdirSync('model').filter(file => file.endsWith('.pml')).length : 0;

const knownRed = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(Boolean)
	: [];
const knownRedNames = new Set(knownRed.map(line => line.split(' | ')[0].trim()));

const results = [];
// Crowds use up the processor and much memory, so their tests run after all others, one at a time.
const isCrowd = file => path.basename(file).startsWith('crowd-');
const crowdFiles = testFiles.filter(file => isCrowd(file));
const otherFiles = testFiles.filter(file => !isCrowd(file));

/** Runs test files, so many at a time. Resolves with the exit code of the runner if it failed although none of the tests did. */
async function runFiles(files, concurrency) {
	const failedBefore = results.filter(({passed}) => !passed).length;
	const child = spawn(process.execPath, ['--enable-source-maps', '--test', '--test-timeout=600000', '--test-reporter=./scripts/test-reporter.mjs', `--test-concurrency=${concurrency}`, ...files], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	let buffered = '';
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', chunk => {
		buffered += chunk;
		const lines = buffered.split('\n');
		buffered = lines.pop();
		for (const line of lines) {
			if (line.startsWith('\u0001')) {
				results.push(JSON.parse(line.slice(1)));
			} else {
				console.log(line);
			}
		}
	});
	const [code] = await once(child, 'close');
	return code !== 0 && results.filter(({passed}) => !passed).length === failedBefore ? code : undefined;
}

/** Prints the outcome and sets the exit status. */
function report(brokenCode) {
	const failed = results.filter(result => !result.passed);
	const unexpected = failed.filter(result => !knownRedNames.has(result.name));
	const passed = results.filter(result => result.passed);
	for (const result of failed) {
		console.log(`${knownRedNames.has(result.name) ? 'KNOWN RED' : 'FAILED'}: ${result.name} (${result.file})\n${result.error}`);
	}

	for (const line of knownRed) {
		console.log(`KNOWN-RED.txt: ${line}`);
	}

	const broken = brokenCode !== undefined;
	if (broken) {
		console.log(`the test runner exited with ${brokenCode} although no test failed`);
	}

	if (leftOutSpecifications > 0) {
		console.log(`not run: ${leftOutSpecifications} specifications; ${remedy}`);
	}

	if (results.length === 0) {
		console.log('no test was run');
	}

	console.log(`${passed.length} passed, ${failed.length} failed`);
	process.exitCode = unexpected.length > 0 || broken || results.length === 0 ? 1 : 0;
}

const codes = [];
for (const [files, concurrency] of [[otherFiles, 6], [crowdFiles, 1]]) {
	if (files.length > 0) {
		codes.push(await runFiles(files, concurrency));
	}
}

report(codes.find(code => code !== undefined));
