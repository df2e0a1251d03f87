import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type StoreEvents} from '../../ports/cache-store-control.js';
import {withdrawalMilliseconds} from './part-times.js';
import {StoreLedger} from './store-ledger.js';

const part = (id: string, tokens = 1600) => ({salt: 'shared-w1', id, tokens});
const events = (changes: Partial<StoreEvents>): StoreEvents => ({
	epoch: 1, next: 2, isIncomplete: false, added: [], removed: [], clockMilliseconds: 0, ...changes,
});

function fullLedger(): StoreLedger {
	const ledger = new StoreLedger(14_500);
	ledger.takeListing({
		epoch: 1, next: 1, parts: [], partial: [],
	}, 0);
	for (let index = 0; index < 9; index++) {
		ledger.takeEvents(events({added: [part(`p${index}`)]}), index);
	}

	return ledger;
}

test('the parts that were unused for longest are withdrawn first and freed when nobody can still read them', () => {
	// An instance heard of the part just before the withdrawal and asks an engine for it; the engine still reads it when
	// the keeper has already taken it back. Freed at once, the engine would go on from another prompt's memory.
	const ledger = fullLedger();
	ledger.use('shared-w1|p0', 50);
	const {removed} = ledger.withdraw(100);
	assert.deepEqual(removed, ['shared-w1|p1', 'shared-w1|p2']);
	assert.deepEqual(ledger.dueToFree(100 + withdrawalMilliseconds - 1), []);
	const due = ledger.dueToFree(100 + withdrawalMilliseconds);
	assert.deepEqual(due.map(({id}) => id), ['p1', 'p2']);
	ledger.freed(due);
	assert.equal(ledger.heldTokens, 7 * 1600);
	assert.deepEqual(ledger.withdraw(5000).removed, []);
});

test('a withdrawn part is not offered again by a late event', () => {
	const ledger = fullLedger();
	ledger.withdraw(100);
	assert.deepEqual(ledger.takeEvents(events({added: [part('p1')]}), 200).added, []);
});

test('a store that was away offers nothing until no instance can believe what it held before', () => {
	// It restarts empty. A request sent before the restart writes a part anew; another instance, which has not heard of the
	// restart, asks for that part. Both are over when the store is listed again.
	const ledger = fullLedger();
	assert.equal(ledger.close(1000).removed.length, 9);
	assert.equal(ledger.isOpen(1000 + withdrawalMilliseconds), false);
	assert.equal(ledger.mayOpen(1000 + withdrawalMilliseconds - 1), false);
	assert.equal(ledger.mayOpen(1000 + withdrawalMilliseconds), true);
	ledger.takeListing({
		epoch: 2, next: 1, parts: [part('p5')], partial: [part('half')],
	}, 4000);
	assert.equal(ledger.isOpen(4000), true);
	assert.deepEqual(ledger.offered(), [['shared-w1|p5', 1600]]);
	assert.equal(ledger.heldTokens, 3200);
});

test('parts under weights that no engine has any more make room at once', () => {
	// New weights are loaded everywhere. Their parts arrive at a rate that room made tenth by tenth cannot follow, and what
	// finds no room is read again.
	const ledger = fullLedger();
	const {removed} = ledger.withdraw(100, salt => salt === 'shared-w1');
	assert.equal(removed.length, 9);
	assert.equal(ledger.dueToFree(100 + withdrawalMilliseconds - 1).length, 0);
	assert.equal(ledger.dueToFree(100 + withdrawalMilliseconds).length, 9);
});
