import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runLimitedEndpoints} from '../check/limited-endpoints-over-processes.js';

test('over real processes: an endpoint that names a limit gets no more than that from all instances together', async () => {
	const {limited, forgotten} = await runLimitedEndpoints({seed: 1, network: 36, milliseconds: 18_000});
	assert.ok(limited.length > 0, 'an endpoint has named a limit');
	assert.deepEqual(limited.filter(({most, allowed}) => most > allowed), []);
	assert.deepEqual(forgotten, [], 'endpoints whose limit has ended get requests again');
});
