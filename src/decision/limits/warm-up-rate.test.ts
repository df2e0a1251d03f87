import assert from 'node:assert/strict';
import {test} from 'node:test';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {PermitBucket} from './permit-bucket.js';
import {warmUpRate} from './warm-up-rate.js';

const seconds = 60;
const maxSendMilliseconds = 250;

/** The most requests within any second, and the mean a second, if callers ask at many instances that send with different delays. */
function playWarmUp({bound, askedPerSecond, seed}: {bound: number; askedPerSecond: number; seed: number}): {most: number; mean: number} {
	const random = seededRandom(seed);
	const {permitsPerSecond, maxUnused} = warmUpRate(bound);
	const bucket = new PermitBucket(0, 0);
	const arrivals: number[] = [];
	for (let now = 0; now < seconds * 1000; now += 2 * random() * 1000 / askedPerSecond) {
		if (bucket.take(permitsPerSecond, now, maxUnused)) {
			arrivals.push(now + (random() * maxSendMilliseconds));
		}
	}

	const sorted = arrivals.toSorted((one, other) => one - other);
	const counts = sorted.map((start, index) => sorted.slice(index).findIndex(at => at >= start + 1000)).map((count, index) => count === -1 ? sorted.length - index : count);
	return {most: Math.max(...counts), mean: arrivals.length / seconds};
}

for (const bound of [1, 2, 5, 20, 60]) {
	test(`an endpoint that warms up gets at most ${bound} requests within any second, whatever is asked for`, () => {
		for (let seed = 1; seed <= 50; seed++) {
			const {most, mean} = playWarmUp({bound, askedPerSecond: 8 * bound, seed});
			assert.ok(most <= bound, `${most} requests within a second, seed ${seed}`);
			assert.ok(bound < 20 || mean >= 0.68 * bound, `${mean} a second used, seed ${seed}`);
		}
	});
}

test('a bound that leaves no room for one request in a second permits none', () => {
	assert.equal(warmUpRate(1).permitsPerSecond, 0);
	assert.equal(warmUpRate(0).permitsPerSecond, 0);
});
