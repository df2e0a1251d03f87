import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type NamedStore, PartPlanner, storeOf} from './plan-parts.js';

const store = (name: string, capacityTokens: number): NamedStore => ({
	name,
	store: {
		address: `${name}:1`, dataCentre: 'split', capacityTokens, linkMegabitsPerSecond: 65_000, firstMilliseconds: 1, isManaged: true,
	},
});
const stores = [store('small', 100_000), store('large', 500_000)];
const parts = [{id: 'p1', tokens: 500}, {id: 'p2', tokens: 8000}];

test('what a store holds whole is fetched, what it lacks is saved once', () => {
	const planner = new PartPlanner();
	const held = 's-w1|p1';
	const known = {isOpen: () => true, holds: (_store: string, key: string) => key === held, engineSource: () => undefined};
	const first = planner.plan(parts, 's-w1', {stores, known}, 0);
	assert.deepEqual(first.used, [held]);
	assert.equal(first.fetchedTokens, 500);
	assert.equal(first.fetchFrom[0], storeOf('p1', stores)!.store.address);
	assert.deepEqual([first.saveTo[0], first.fetchFrom[1]], [undefined, undefined]);
	assert.equal(first.saveTo[1], storeOf('p2', stores)!.store.address);
	assert.equal(planner.plan(parts, 's-w1', {stores, known}, 1000).saveTo[1], undefined);
	assert.notEqual(planner.plan(parts, 's-w1', {stores, known}, 5000).saveTo[1], undefined);
});

test('nothing is fetched from or saved to stores of which nothing fresh is known', () => {
	const plan = new PartPlanner().plan(parts, 's-w1', {stores, known: {isOpen: () => false, holds: () => false, engineSource: () => undefined}}, 0);
	assert.deepEqual(plan.saveTo, [undefined, undefined]);
	assert.deepEqual(plan.fetchFrom, [undefined, undefined]);
});

test('parts spread over stores by their room', () => {
	const ids = Array.from({length: 6000}, (_, index) => `part-${index}`);
	const inSmall = ids.filter(id => storeOf(id, stores)!.name === 'small').length;
	assert.ok(inSmall > 800 && inSmall < 1200, String(inSmall));
});

test('a part that no store has yet is fetched from an engine that keeps it, and still saved', () => {
	const known = {isOpen: () => true, holds: () => false, engineSource: (key: string) => key === 's-w1|p2' ? 'engine:1' : undefined};
	const plan = new PartPlanner().plan(parts, 's-w1', {stores, known}, 0);
	assert.deepEqual(plan.fetchFrom, [undefined, 'engine:1']);
	assert.equal(plan.fetchedTokens, 8000);
	assert.deepEqual(plan.used, []);
	assert.notEqual(plan.saveTo[1], undefined);
});
