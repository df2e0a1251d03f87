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
	const inventory = new StoreInventory(14_500);
	inventory.applyListing({
		epoch: 1, next: 1, parts: [], partial: [],
	}, 0);
	for (let index = 0; index < 9; index++) {
		inventory.applyEvents(events({added: [block(`p${index}`)]}), index);
	}

	return inventory;
}

test('the least recently used blocks are withdrawn first, and freed when no engine can still read them', () => {
	// An instance gets a report of a block just before its withdrawal, and an engine still fetches the block afterwards. If
	// the block were freed at once, the engine would continue from the KV state of another prompt.
	const inventory = fullInventory();
	inventory.markUsed('shared-w1|p0', 50);
	const {removed} = inventory.withdraw(100);
	assert.deepEqual(removed, ['shared-w1|p1', 'shared-w1|p2']);
	assert.deepEqual(inventory.dueToFree(100 + withdrawalMilliseconds - 1), []);
	const due = inventory.dueToFree(100 + withdrawalMilliseconds);
	assert.deepEqual(due.map(({id}) => id), ['p1', 'p2']);
	inventory.markFreed(due);
	assert.equal(inventory.heldTokens, 7 * 1600);
	assert.deepEqual(inventory.withdraw(5000).removed, []);
});

test('a late event does not offer a withdrawn block again', () => {
	const inventory = fullInventory();
	inventory.withdraw(100);
	assert.deepEqual(inventory.applyEvents(events({added: [block('p1')]}), 200).added, []);
});

test('a store that could not be reached offers nothing until all reports of its earlier content have expired', () => {
	// The store restarts empty. A request from before the restart rewrites a block, while another instance, which does not know
	// of the restart, has an engine fetch that block. Both have ended when the store is listed again.
	const inventory = fullInventory();
	assert.equal(inventory.close(1000).removed.length, 9);
	assert.equal(inventory.isOpen(1000 + withdrawalMilliseconds), false);
	assert.equal(inventory.canOpen(1000 + withdrawalMilliseconds - 1), false);
	assert.equal(inventory.canOpen(1000 + withdrawalMilliseconds), true);
	inventory.applyListing({
		epoch: 2, next: 1, parts: [block('p5')], partial: [block('half')],
	}, 4000);
	assert.equal(inventory.isOpen(4000), true);
	assert.deepEqual(inventory.offered(), [['shared-w1|p5', 1600]]);
	assert.equal(inventory.heldTokens, 3200);
});

test('all blocks of weights that no engine serves any more are withdrawn at once', () => {
	// New weights are loaded everywhere. Their blocks arrive faster than the eviction of a few percent at a time makes room,
	// and blocks that find no room must be prefilled again.
	const inventory = fullInventory();
	const {removed} = inventory.withdraw(100, salt => salt === 'shared-w1');
	assert.equal(removed.length, 9);
	assert.equal(inventory.dueToFree(100 + withdrawalMilliseconds - 1).length, 0);
	assert.equal(inventory.dueToFree(100 + withdrawalMilliseconds).length, 9);
});
