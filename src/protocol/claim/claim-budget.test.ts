import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ClaimBudget} from './claim-budget.js';

test('the declared claim rate is divided among the instances; calls above it are refused as not run', () => {
	const budget = new ClaimBudget();
	const share = {instances: 10, claimsPerSecond: 200};
	const refusals = Array.from({length: 50}, () => {
		const refusal = budget.acquire(share, 1000);
		if (refusal === undefined) {
			budget.release();
		}

		return refusal;
	});
	const refused = refusals.filter(refusal => refusal !== undefined);
	assert.equal(refusals.length - refused.length, 40, '200 / 10 claims per second with a burst of two seconds');
	assert.ok(refused.every(({reason, ran}) => reason === 'claim-rate' && ran === 'not-run'));
	assert.equal(budget.acquire(share, 1050), undefined, '50 ms refill one claim');
	assert.equal(budget.acquire(share, 1050)?.reason, 'claim-rate');
});
