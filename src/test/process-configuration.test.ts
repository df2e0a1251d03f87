import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatRun, runConfigurationChanges} from '../check/configuration-over-processes.js';

test('over real processes: changes are in force within 3 s and never revert under restarts and cut connections', async () => {
	// Between configuration changes, entries are killed and restarted, or cut off from the table and reconnected. Each change
	// must be in force on every entry within 3 s, from the table or from peers, and no entry may serve under a lower version
	// than before.
	const report = await runConfigurationChanges({faults: 8, seed: 3});
	const {late, wentBack, changes} = report;
	assert.deepEqual({late, wentBack, changes}, {late: 0, wentBack: 0, changes: 9}, JSON.stringify({late, wentBack, changes}) + formatRun(report));
});
