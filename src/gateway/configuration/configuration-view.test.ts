import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration} from '../testing/test-configuration.js';
import {ConfigurationView} from './configuration-view.js';

const bounds = {freshMilliseconds: 3000, leaseMilliseconds: 4800};

test('a version never goes back', () => {
	// A slow read is answered after a newer one. Applying its answer would bring a removed route back into force.
	const view = new ConfigurationView(bounds);
	assert.equal(view.offer(testConfiguration({version: 7})), true);
	assert.equal(view.offer(testConfiguration({version: 3})), false);
	assert.equal(view.offer(testConfiguration({version: 7})), false);
	assert.equal(view.current?.version, 7);
});

test('validity counts from the sending of the last answered read', () => {
	// A read is answered after four seconds. Its content may be four seconds old, so the lease expires 0.8 s after the answer.
	const view = new ConfigurationView(bounds);
	assert.equal(view.validityAt({steady: 0, wall: 0}), 'none');
	view.offer(testConfiguration());
	view.confirm({steady: 1000, wall: 100_000});
	assert.equal(view.validityAt({steady: 2000, wall: 101_000}), 'fresh');
	assert.equal(view.validityAt({steady: 5000, wall: 104_000}), 'ageing');
	assert.equal(view.validityAt({steady: 5900, wall: 104_900}), 'lapsed');
});

test('neither a suspended machine nor a jump of the wall clock extends the lease', () => {
	// The machine is suspended for ten seconds, in which the steady clock does not move. Later the wall clock is set back.
	const view = new ConfigurationView(bounds);
	view.offer(testConfiguration());
	view.confirm({steady: 1000, wall: 100_000});
	assert.equal(view.validityAt({steady: 1100, wall: 110_100}), 'lapsed');
	assert.equal(view.validityAt({steady: 7000, wall: 90_000}), 'lapsed');
});
