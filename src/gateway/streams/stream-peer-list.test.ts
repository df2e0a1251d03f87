import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StreamPeerLists, type StreamPeerQuery} from './stream-peer-list.js';

function follower(address: string | undefined, dataCentre = 'split'): StreamPeerQuery {
	return {...(address === undefined ? {} : {address}), dataCentre, digest: ''};
}

test('a follower gets the instances of its data centre', () => {
	const followers = [follower('b'), follower('a'), follower('c', 'quay'), follower(undefined), follower('a')];
	const lists = new StreamPeerLists();
	const list = lists.answer(followers[0]!, () => followers, 0);
	assert.deepEqual(list.addresses, ['a', 'b']);
	assert.deepEqual(lists.answer(followers[2]!, () => followers, 0).addresses, ['c']);
});

test('a follower that has the list gets no addresses, whatever their order', () => {
	const {digest} = new StreamPeerLists().answer(follower('a'), () => [follower('a'), follower('b')], 0);
	assert.deepEqual(new StreamPeerLists().answer({...follower('a'), digest}, () => [follower('b'), follower('a')], 0), {digest});
	const other = new StreamPeerLists().answer({...follower('a'), digest}, () => [follower('a')], 0);
	assert.deepEqual(other.addresses, ['a']);
	assert.notEqual(other.digest, digest);
});

test('a list is made at most three times a second', () => {
	const lists = new StreamPeerLists();
	let count = 0;
	const followers = (): StreamPeerQuery[] => {
		count++;
		return [follower('a')];
	};

	for (let now = 0; now <= 600; now += 10) {
		lists.answer(follower('a'), followers, now);
	}

	assert.equal(count, 2);
});

test('a list is bounded, and the same for all', () => {
	const followers = Array.from({length: 300}, (_, index) => follower(`10.0.0.${index}:1`));
	const [one, two] = [followers, followers.toReversed()].map(all => new StreamPeerLists().answer(follower('a'), () => all, 0));
	assert.equal(one?.addresses?.length, 100);
	assert.deepEqual(one, two);
});
