import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type StoreEvents} from '../../ports/cache-store-control.js';
import {withdrawalMilliseconds} from './block-times.js';
import {StoreInventory} from './store-inventory.js';

const block = (id: string, tokens = 1600) => ({salt: 'shared-w1', id, tokens});
const events = (changes: Partial<StoreEvents>): StoreEvents => ({
	epoch: 1, next: 2, isIncomplete: false, added: [], removed: [], clockMilliseconds: 0, ...changes,
});

function fullInventory(): StoreInventory {
	const ledger = new StoreInventory(14_500);
	ledger.applyListing({
		epoch: 1, next: 1, parts: [], partial: [],
	}, 0);
	for (let index = 0; index < 9; index++) {
		ledger.applyEvents(events({added: [block(`p${index}`)]}), index);
	}

	return ledger;
}

test('the least recently used blocks are withdrawn first, and freed when no engine can still read them', () => {
	// An instance gets a report of a block just before its withdrawal, and an engine still fetches the block afterwards. If
	// the block were freed at once, the engine would continue from the KV state of another prompt.
	const ledger = fullInventory();
	ledger.markUsed('shared-w1|p0', 50);
	const {removed} = ledger.withdraw(100);
	assert.deepEqual(removed, ['shared-w1|p1', 'shared-w1|p2']);
	assert.deepEqual(ledger.dueToFree(100 + withdrawalMilliseconds - 1), []);
	const due = ledger.dueToFree(100 + withdrawalMilliseconds);
	assert.deepEqual(due.map(({id}) => id), ['p1', 'p2']);
	ledger.markFreed(due);
	assert.equal(ledger.heldTokens, 7 * 1600);
	assert.deepEqual(ledger.withdraw(5000).removed, []);
});

test('a late event does not offer a withdrawn block again', () => {
	const ledger = fullInventory();
	ledger.withdraw(100);
	assert.deepEqual(ledger.applyEvents(events({added: [block('p1')]}), 200).added, []);
});

test('a store that could not be reached offers nothing until all reports of its earlier content have expired', () => {
	// The store restarts empty. A request from before the restart rewrites a block, while another instance, which does not know
	// of the restart, has an engine fetch that block. Both have ended when the store is listed again.
	const ledger = fullInventory();
	assert.equal(ledger.close(1000).removed.length, 9);
	assert.equal(ledger.isOpen(1000 + withdrawalMilliseconds), false);
	assert.equal(ledger.canOpen(1000 + withdrawalMilliseconds - 1), false);
	assert.equal(ledger.canOpen(1000 + withdrawalMilliseconds), true);
	ledger.applyListing({
		epoch: 2, next: 1, parts: [block('p5')], partial: [block('half')],
	}, 4000);
	assert.equal(ledger.isOpen(4000), true);
	assert.deepEqual(ledger.offered(), [['shared-w1|p5', 1600]]);
	assert.equal(ledger.heldTokens, 3200);
});

test('all blocks of weights that no engine serves any more are withdrawn at once', () => {
	// New weights are loaded everywhere. Their blocks arrive faster than the eviction of a few percent at a time makes room,
	// and blocks that find no room must be prefilled again.
	const ledger = fullInventory();
	const {removed} = ledger.withdraw(100, salt => salt === 'shared-w1');
	assert.equal(removed.length, 9);
	assert.equal(ledger.dueToFree(100 + withdrawalMilliseconds - 1).length, 0);
	assert.equal(ledger.dueToFree(100 + withdrawalMilliseconds).length, 9);
});
