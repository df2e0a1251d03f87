import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Either, Left, Right} from 'purify-ts/Either';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type StoreEvents} from '../../ports/cache-store-control.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {EngineCacheWatcher} from './engine-cache-watcher.js';

const blockOf = (id: string) => ({salt: 's', id, tokens: 160});
const events = (changes: Partial<StoreEvents>): Either<string, StoreEvents> => Right({
	epoch: 1, next: 1, isIncomplete: false, added: [], removed: [], clockMilliseconds: 0, ...changes,
});

/** A watcher of an engine that gives these answers, and the blocks published to the followers. */
function watched(answers: Array<Either<string, StoreEvents>>) {
	const requestedSince: number[] = [];
	const published = new Set<string>();
	const watch = new EngineCacheWatcher(testEndpoint({name: 'e1'}), {
		control: {
			async events(_address, since) {
				requestedSince.push(since);
				return answers.shift()!;
			},
		},
		clock: systemMomentClock,
		publish(_engine, {added, removed}) {
			for (const key of removed) {
				published.delete(key);
			}

			for (const [key] of added) {
				published.add(key);
			}
		},
	});
	return {watch, requestedSince, published};
}

test('blocks that an engine computes and drops are published, each event once', async () => {
	const {watch, requestedSince, published} = watched([
		events({next: 3, added: [blockOf('p1'), blockOf('p2')]}),
		events({next: 4, removed: [blockOf('p1')]}),
	]);
	await watch.step();
	await watch.step();
	assert.deepEqual([...published], ['s|p2']);
	assert.deepEqual(requestedSince, [0, 3]);
	assert.deepEqual(watch.blocks(), [['s|p2', 160]]);
});

test('blocks known from before a restart of an engine, or from before it was unreachable, are withdrawn', async () => {
	// An engine crashes and comes back empty under its name. Prompts that are sent there for blocks that it had are prefilled
	// in full, and the engine that all instances prefer falls behind.
	const {watch, requestedSince, published} = watched([
		events({next: 9, added: [blockOf('p1')]}),
		events({epoch: 2, next: 1}),
		events({epoch: 2, next: 2, added: [blockOf('p3')]}),
		Left('refused'),
		events({epoch: 2, next: 2, added: [blockOf('p3')]}),
	]);
	await watch.step();
	await watch.step();
	assert.deepEqual([...published], []);
	assert.equal(watch.isUpToDate, false);
	await watch.step();
	assert.deepEqual([...published], ['s|p3']);
	assert.deepEqual(requestedSince, [0, 9, 0]);
	await watch.step();
	assert.deepEqual([...published], []);
	await watch.step();
	assert.deepEqual([...published], ['s|p3']);
});

test('after a gap in the events only the blocks of the remaining events are known', async () => {
	const {watch, published} = watched([
		events({next: 5, added: [blockOf('p1')]}),
		events({next: 9000, isIncomplete: true, added: [blockOf('p2')]}),
	]);
	await watch.step();
	await watch.step();
	assert.deepEqual([...published], ['s|p2']);
	assert.equal(watch.isUpToDate, true);
});
