import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runConfigurationChanges} from '../check/configuration-over-processes.js';

test('over real processes: changes are in force within 3 s and never go back under restarts and cuts', async () => {
	// Operators change the configuration again and again. In between, entries are killed and started anew, or are cut from
	// the table and mended. Each change is in force on every entry within 3 s, by the table or by the peers, and no entry
	// ever serves by a version below one that it had.
	const {late, wentBack, changes} = await runConfigurationChanges({faults: 8, seed: 3});
	assert.deepEqual({late, wentBack, changes}, {late: 0, wentBack: 0, changes: 9});
});
