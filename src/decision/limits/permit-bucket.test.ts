import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PermitBucket} from './permit-bucket.js';

test('however often instances ask, no more permits are granted in any 4 s than an endpoint with a limit allows', () => {
	for (const ratePerSecond of [0.02, 0.6, 1.2, 5, 40]) {
		const bucket = new PermitBucket(0, 0);
		const grantedAt: number[] = [];
		for (let now = 0; now < 60_000; now += 7) {
			// Nobody asks for the first 10 s, so that unused permits would have piled up.
			if (now > 10_000 && bucket.take(ratePerSecond, now)) {
				grantedAt.push(now);
			}
		}

		const most = Math.max(...grantedAt.map(start => grantedAt.filter(at => at >= start && at < start + 4000).length));
		assert.ok(most <= (1.5 * 4 * ratePerSecond) + 5, `${most} at ${ratePerSecond} a second`);
		assert.ok(grantedAt.length >= Math.floor(ratePerSecond * 50 * 0.95), `only ${grantedAt.length} of ${ratePerSecond * 50} are used`);
	}
});
