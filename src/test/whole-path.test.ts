import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {text} from 'node:stream/consumers';

const demoPath = fileURLToPath(new URL('../demo/main.js', import.meta.url));

test('the demo answers every prompt completely and runs every booking once, over separate processes', async () => {
	const demo = spawn(process.execPath, [demoPath, '--json'], {stdio: ['ignore', 'pipe', 'inherit']});
	const [output] = await Promise.all([text(demo.stdout), once(demo, 'exit')]);
	const report = JSON.parse(output.trim().split('\n').at(-1)!) as Record<string, number>;
	assert.equal(report.wholeAnswers, report.requests);
	assert.equal(report.bookingsRun, report.bookingsAsked);
	assert.equal(report.duplicateRuns, 0);
	assert.equal(report.processes, 20);
});
