import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PermitSum, runPermitSum} from './permit-sum.js';

const seeds = 50;

test('an endpoint with a limit gets no more than it allows, whoever grants the permits', async () => {
	const exceeded: PermitSum[] = [];
	for (let seed = 1; seed <= seeds; seed++) {
		const sum = await runPermitSum(seed);
		if (sum.most > sum.allowed) {
			exceeded.push(sum);
		}
	}

	assert.deepEqual(exceeded, []);
});
