import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventLoopLag} from './event-loop-lag.js';

test('a lag is visible while it lasts and for a second after it, and is reported once', t => {
	// Guards against a lag that is visible only while the event loop is blocked, when no code can check for closed connections.
	t.mock.timers.enable({apis: ['setInterval']});
	let now = 0;
	const lags: number[] = [];
	const lag = new EventLoopLag(() => now, lagMilliseconds => {
		lags.push(lagMilliseconds);
	});
	const pass = (milliseconds: number): void => {
		for (let passed = 0; passed < milliseconds; passed += 100) {
			now += 100;
			t.mock.timers.tick(100);
		}
	};

	lag.start();
	pass(500);
	assert.equal(lag.at(now), 0);
	now += 700;
	assert.equal(lag.at(now), 600);
	t.mock.timers.tick(100);
	pass(500);
	assert.equal(lag.at(now), 600);
	pass(1000);
	assert.equal(lag.at(now), 0);
	lag.stop();
	assert.deepEqual(lags.filter(milliseconds => milliseconds > 0), [600]);
});
