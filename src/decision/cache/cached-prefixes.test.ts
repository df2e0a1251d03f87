import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CachedPrefixes} from './cached-prefixes.js';

const prefix = Array.from({length: 10}, (_, index) => `piece-${index}`);

function eventsOf(kind: 'stored' | 'evicted', keys: readonly string[], firstSequence: number) {
	return keys.map((pieceKey, index) => ({sequence: firstSequence + index, kind, pieceKey}));
}

test('with late, repeated and lost events, the known blocks stay close to the cached ones', () => {
	const prefixes = new CachedPrefixes();
	const stored = eventsOf('stored', prefix, 1);
	prefixes.applyEvents('engine', stored.filter(({sequence}) => sequence !== 4));
	assert.equal(prefixes.gapsOf('engine'), 1);
	assert.equal(prefixes.leadingBlocks(prefix).get('engine'), 10, 'one lost event does not hide the rest of the prefix');
	prefixes.applyEvents('engine', eventsOf('evicted', prefix.slice(8), 11));
	prefixes.applyEvents('engine', stored);
	assert.equal(prefixes.leadingBlocks(prefix).get('engine'), 8, 'repeated older events do not bring evicted blocks back');
});

test('a wrong entry is removed when the holder turns out not to have the blocks', () => {
	const prefixes = new CachedPrefixes();
	prefixes.add('store', prefix);
	prefixes.remove('store', prefix.slice(3));
	assert.equal(prefixes.leadingBlocks(prefix).get('store'), 3);
	prefixes.removeHolder('store');
	assert.equal(prefixes.leadingBlocks(prefix).size, 0);
});

test('known blocks never exceed the holder\'s capacity, and the oldest are dropped first', () => {
	const prefixes = new CachedPrefixes();
	prefixes.setCapacity('engine', 5);
	prefixes.add('engine', prefix.toReversed());
	assert.equal(prefixes.leadingBlocks(prefix).get('engine'), 5);
	assert.equal(prefixes.isCached('piece-9'), false);
});
