import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type CacheStoreControl, type StoreListing} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {DecisionLog} from '../observability/decision-log.js';
import {StoreKeepers} from './store-keepers.js';

test('a listing that arrives when the duty is over is told to nobody', async () => {
	// The hub's lease lapses while it lists a store. Its followers stay connected, and the store is closed for them. The
	// listing arrives then; told, it would count as held again with the next grant, though the parts may have been freed
	// under another holder meanwhile, and an engine would read memory that is no longer that prompt's.
	let now = 0;
	const clock: MomentClock = {
		moment: () => ({steady: now, wall: now}),
		async sleep(milliseconds) {
			now += milliseconds;
		},
	};
	let answer: ((listing: Either<string, StoreListing>) => void) | undefined;
	const listed = new Promise<Either<string, StoreListing>>(resolve => {
		answer = resolve;
	});
	const asked: string[] = [];
	const control: CacheStoreControl = {
		async list(address) {
			asked.push(address);
			return listed;
		},
		events: async () => Left('not asked for in this test'),
		free: async () => Right(undefined),
	};
	const told = new Set<string>();
	const keepers = new StoreKeepers({
		control,
		clock,
		log: new DecisionLog({writableLength: 0, write: () => true}, {}, () => now),
		mayAct: () => true,
		isDead: () => false,
		tell(_store, {added, removed}) {
			for (const key of removed) {
				told.delete(key);
			}

			for (const [key] of added) {
				told.add(key);
			}
		},
	});
	keepers.keep([['cache', {
		address: '127.0.0.1:1', dataCentre: 'split', capacityTokens: 10_000, linkMegabitsPerSecond: 1, firstMilliseconds: 1, isManaged: true,
	}]]);
	while (asked.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	keepers.close();
	answer!(Right({
		epoch: 1, next: 1, parts: [{salt: 's', id: 'p', tokens: 800}], partial: [],
	}));
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	assert.deepEqual([...told], []);
});
