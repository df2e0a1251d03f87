import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TurnBudget, type TurnUser} from './turn-budget.js';

type User = TurnUser & {name: string};

function user(name: string): User {
	return {name, spentMilliseconds: 0};
}

test('a connection that has taken much time goes after those that have taken little', () => {
	// Guards against clients with bodies in very small chunks, between which ordinary callers are not read for minutes.
	const budget = new TurnBudget<User>();
	const heavy = Array.from({length: 20}, (_, index) => user(`heavy ${index}`));
	for (const each of heavy) {
		budget.spend(each, 40);
		budget.holdBack(each);
	}

	assert.equal(budget.isSpent, true);
	const ordinary = user('ordinary');
	budget.holdBack(ordinary);
	const resumed = budget.nextTurn();
	assert.equal(resumed[0], ordinary);
	assert.equal(budget.isSpent, false);
	assert.equal(budget.isHeldBack(ordinary), false);
	assert.equal(budget.heldBack, heavy.length + 1 - resumed.length);
});

test('each connection gets its turn, also if all are heavy', () => {
	// Guards against a legal body that is never read to its end because others are heavy too.
	const budget = new TurnBudget<User>();
	const users = Array.from({length: 30}, (_, index) => user(String(index)));
	for (const each of users) {
		budget.holdBack(each);
	}

	const turns = 100;
	for (let turn = 0; turn < turns; turn++) {
		for (const each of budget.nextTurn()) {
			budget.spend(each, 40);
			budget.holdBack(each);
		}
	}

	const spent = users.map(({spentMilliseconds}) => spentMilliseconds);
	assert.ok(Math.max(...spent) - Math.min(...spent) <= 40, JSON.stringify(spent));
});

test('of connections that have taken no time the newest is read first', () => {
	const budget = new TurnBudget<User>();
	const users = Array.from({length: 10}, (_, index) => user(String(index)));
	for (const each of users) {
		budget.holdBack(each);
	}

	assert.equal(budget.nextTurn()[0], users.at(-1));
	budget.forget(users[0]!);
	assert.equal(budget.heldBack, users.length - 5);
});
