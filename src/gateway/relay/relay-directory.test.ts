import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RelayDirectory} from './relay-directory.js';
import {type RelayReport} from './relay-messages.js';

function report(address: string, changes: Partial<RelayReport> = {}): RelayReport {
	return {
		address, dataCentre: 'split', unreachable: 0, connections: 0, ...changes,
	};
}

test('a coordinator that knows only relays which are cut off does not hide the others', () => {
	const directory = new RelayDirectory();
	directory.update([report('sound'), report('cut')], 0);
	directory.update([report('cut', {unreachable: 6})], 1000);
	assert.equal(directory.choose(1000, () => 0), 'sound');
});

test('a relay that failed is left out for a while, and one that is no longer reported for good', () => {
	const directory = new RelayDirectory();
	directory.update([report('one')], 0);
	directory.noteFailed('one', 0);
	assert.equal(directory.choose(500, () => 0), undefined);
	assert.equal(directory.choose(1500, () => 0), 'one');
	assert.equal(directory.choose(40_000, () => 0), undefined);
});

test('a relay in a data centre that the request must not reach is not chosen', () => {
	const directory = new RelayDirectory();
	directory.update([report('here'), report('abroad', {dataCentre: 'trieste'})], 0);
	assert.equal(directory.choose(0, () => 0.99, new Set(), dataCentre => dataCentre === 'split'), 'here');
	assert.equal(directory.choose(0, () => 0, new Set(), () => false), undefined);
});

test('the less loaded of two relays is chosen, with what was opened since it was reported', () => {
	const directory = new RelayDirectory();
	directory.update([report('one', {connections: 1}), report('two', {connections: 3})], 0);
	let drawn = 0;
	const inTurn = (): number => drawn++ % 2 === 0 ? 0 : 0.9;
	assert.deepEqual([1, 2, 3, 4].map(() => directory.choose(0, inTurn)), ['one', 'one', 'one', 'two']);
});
