import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SharedRetryBudget} from './shared-retry-budget.js';

test('a failing service gets a bounded share of retries from all instances together', () => {
	// All endpoints of a service fail, and 18 instances with uneven traffic retry as much as they may. In every window
	// the retries stay below a fifth of the requests and a small extra for each instance.
	const bounds = {ratio: 0.2, windowMilliseconds: 10_000};
	const budgets = Array.from({length: 18}, () => new SharedRetryBudget(bounds));
	const retriesAt: number[] = [];
	let requests = 0;
	for (let now = 0; now < 30_000; now += 10) {
		for (const [index, budget] of budgets.entries()) {
			if (now % (50 * (index + 1)) === 0) {
				budget.countRequest('desk', now);
				requests += now >= 20_000 ? 1 : 0;
			}

			if (budget.takeRetry('desk', now)) {
				retriesAt.push(now);
			}
		}
	}

	const retries = retriesAt.filter(at => at >= 20_000).length;
	assert.ok(retries <= (0.2 * requests) + 18, `${retries} retries for ${requests} requests`);
	assert.ok(retries > 0.1 * requests, `${retries} retries for ${requests} requests`);
});

test('a service without requests allows one retry in a window', () => {
	const budget = new SharedRetryBudget({ratio: 0.2, windowMilliseconds: 10_000});
	assert.equal(budget.takeRetry('desk', 0), true);
	assert.equal(budget.takeRetry('desk', 5000), false);
	assert.equal(budget.takeRetry('desk', 10_500), true);
});
