import assert from 'node:assert/strict';
import {test} from 'node:test';
import {retriesPerAttempt, RetryBudget, workspaceReserve} from './retry-budget.js';
import {spreadRetry} from './spread-retry.js';

test('an outage in which every attempt fails adds a fifth of the load, not three times as much', () => {
	const budget = new RetryBudget();
	let retries = 0;
	for (let index = 0; index < 1000; index++) {
		budget.countAttempt('quay', `engine-${index % 6}`);
		for (let again = 0; again < 3 && budget.takeRetry('quay', `engine-${index % 6}`); again++) {
			retries++;
		}
	}

	assert.ok(retries <= (1000 * retriesPerAttempt) + workspaceReserve, `${retries} retries`);
});

test('a workspace whose prompts always fail uses up only its own retries', () => {
	const budget = new RetryBudget();
	while (budget.takeRetry('broken', 'engine-0')) {
		// Uses up the budget.
	}

	assert.equal(budget.takeRetry('broken', 'engine-1'), false);
	assert.equal(budget.takeRetry('whole', 'engine-1'), true);
});

test('callers refused at the same moment get delays spread over half of the computed one, and never shorter ones', () => {
	const times = Array.from({length: 1000}, (_, index) => spreadRetry(2000, `request-${index}`));
	assert.ok(Math.min(...times) >= 2000);
	assert.ok(Math.max(...times) <= 3000);
	const firstTenth = times.filter(time => time < 2100).length;
	assert.ok(firstTenth > 60 && firstTenth < 140, `${firstTenth} of 1000 in the first tenth`);
});
