import assert from 'node:assert/strict';
import {test} from 'node:test';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {PrefillSpeed} from './prefill-speed.js';

test('prefill speed is learned from the delays of some hundred prompts, whatever else delays them', () => {
	for (const speed of [30, 55, 112, 250]) {
		const learned = new PrefillSpeed();
		const random = seededRandom(7);
		for (let sample = 0; sample < 400; sample++) {
			const tokens = random() < 0.4 ? 3000 + (9000 * random()) : 200 + (800 * random());
			learned.observe(tokens, 30 + (60 * random()) + (tokens / speed));
		}

		assert.ok(Math.abs((learned.tokensPerMillisecond / speed) - 1) < 0.2, `${speed}: ${learned.tokensPerMillisecond}`);
	}
});

test('without samples, and with contradictory ones, the speed stays within bounds', () => {
	assert.ok(Math.abs(new PrefillSpeed().tokensPerMillisecond - 55) < 1);
	const confused = new PrefillSpeed();
	for (let sample = 0; sample < 2000; sample++) {
		confused.observe(sample % 2 === 0 ? 10_000 : 100, sample % 2 === 0 ? 1 : 900);
	}

	assert.ok(confused.tokensPerMillisecond >= 20);
	assert.ok(confused.tokensPerMillisecond <= 500);
});
