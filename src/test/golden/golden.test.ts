/** The recorded bytes of whole sessions of callers and operators equal their golden files. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {goldenSessions, runSession} from './run-session.js';

for (const name of goldenSessions.keys()) {
	test(`golden session ${name}`, async () => {
		assert.equal(await runSession(name), readFileSync(`golden/${name}.txt`, 'utf8'), 'review the difference; if it is intended, run npm run golden');
	});
}

test('every golden file belongs to a session', () => {
	const files = readdirSync('golden').map(file => file.replace(/\.txt$/v, ''));
	assert.deepEqual(files.toSorted(), [...goldenSessions.keys()].toSorted());
});
