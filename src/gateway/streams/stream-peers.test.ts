import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StreamPeers} from './stream-peers.js';

const addresses = Array.from({length: 12}, (_, index) => `10.0.0.${index + 1}:7703`);

function peersOf(own: string, listed: string[], now = 0): StreamPeers {
	const peers = new StreamPeers(own);
	peers.apply({digest: 'one', addresses: listed}, now);
	return peers;
}

test('instances choose the same owners, and none chooses itself', () => {
	const [first, second] = [peersOf(addresses[0]!, addresses), peersOf(addresses[1]!, addresses)];
	for (let index = 0; index < 200; index++) {
		const recorded = first.ownersOf(`key-${index}`, 3, 0);
		const asked = second.ownersOf(`key-${index}`, 5, 0);
		assert.equal(recorded.length, 3);
		assert.ok(!recorded.includes(addresses[0]!));
		assert.deepEqual(recorded.filter(address => address !== addresses[1] && !asked.includes(address)), []);
	}
});

test('keys are spread over the peers', () => {
	const peers = peersOf('own', addresses);
	const counts = new Map<string, number>();
	for (let index = 0; index < 4000; index++) {
		for (const address of peers.ownersOf(`key-${index}`, 3, 0)) {
			counts.set(address, (counts.get(address) ?? 0) + 1);
		}
	}

	assert.equal(counts.size, 12);
	assert.ok(Math.max(...counts.values()) < 1200, 'a fifth above the mean of 1000');
});

test('the end of two peers leaves an owner that was chosen before', () => {
	const all = peersOf('own', addresses);
	for (let index = 0; index < 200; index++) {
		const [first, second, third] = all.ownersOf(`key-${index}`, 3, 0);
		const left = peersOf('own', addresses.filter(address => address !== first && address !== second));
		assert.equal(left.ownersOf(`key-${index}`, 3, 0)[0], third);
	}
});

test('a list does not replace the earlier ones at once', () => {
	// Guards against a coordinator that has just taken over and knows few instances.
	const peers = peersOf('own', addresses);
	peers.apply({digest: 'two', addresses: addresses.slice(0, 1)}, 29_000);
	assert.equal(peers.ownersOf('key', 20, 29_000).length, 12);
	assert.deepEqual(peers.ownersOf('key', 20, 31_000), [addresses[0]]);
	assert.equal(peers.digest, 'two');
});

test('a confirmed list stays', () => {
	const peers = peersOf('own', addresses);
	peers.apply({digest: 'one'}, 29_000);
	assert.equal(peers.ownersOf('key', 20, 50_000).length, 12);
	peers.apply({digest: 'another'}, 50_000);
	assert.equal(peers.hasUsable(59_001), false, 'a confirmation of another list says nothing about this one');
});

test('a peer that failed is left out for a while', () => {
	const peers = peersOf('own', addresses.slice(0, 2));
	const [first, second] = peers.ownersOf('key', 2, 0);
	peers.noteFailed(first!, 0);
	assert.deepEqual(peers.ownersOf('key', 2, 100), [second]);
	peers.apply({digest: 'one'}, 1000);
	assert.deepEqual(peers.ownersOf('key', 2, 1000), [second]);
	assert.deepEqual(peers.ownersOf('key', 2, 2000), [first, second]);
});

test('the number of peers is bounded', () => {
	const peers = new StreamPeers('own');
	for (let list = 0; list < 10; list++) {
		peers.apply({digest: `${list}`, addresses: Array.from({length: 100}, (_, index) => `10.0.${list}.${index}:1`)}, list);
	}

	assert.equal(peers.ownersOf('key', 1000, 10).length, 200);
	assert.ok(peers.ownersOf('key', 1000, 10).every(address => address.startsWith('10.0.8') || address.startsWith('10.0.9')));
});

test('instances that know the same peers choose the same one to write to the store, and one without peers chooses itself', () => {
	const recorders = new Set(addresses.map(own => peersOf(own, addresses).recorder(0) ?? own));
	assert.equal(recorders.size, 1);
	assert.equal(new StreamPeers('own').recorder(0), undefined);
});

test('another instance writes to the store in place of one that does not answer', () => {
	const peers = peersOf('own', addresses);
	const first = peers.recorder(0)!;
	peers.noteFailed(first, 0);
	assert.notEqual(peers.recorder(1), first);
	assert.equal(peers.recorder(5000), first);
});
