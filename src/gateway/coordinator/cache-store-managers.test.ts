import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type CacheStoreControl, type StoreListing} from '../../ports/cache-store-control.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {withdrawalMilliseconds} from '../../protocol/blocks/block-times.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {DecisionLog} from '../observability/decision-log.js';
import {CacheStoreManagers} from './cache-store-managers.js';

const stores: Array<[string, StoreTraits]> = [['cache', {
	address: '127.0.0.1:1', dataCentre: 'split', capacityTokens: 10_000, linkMegabitsPerSecond: 1, transferLatencyMilliseconds: 1, isManaged: true,
}]];

/** Managers whose clock the test sets; pauses pass at once. */
function managersWithoutFollowers(control: CacheStoreControl, now: () => number): CacheStoreManagers {
	const clock: MomentClock = {
		moment: () => ({steady: now(), wall: now()}),
		sleep: async () => new Promise(resolve => {
			setImmediate(resolve);
		}),
	};
	return new CacheStoreManagers({
		control,
		clock,
		log: new DecisionLog({writableLength: 0, write: () => true}, {}, now),
		holdsLease: () => true,
		isExpired: () => false,
		publish() {
			// No followers in this test.
		},
	});
}

test('a listing that arrives after the end of the lease is not published', async () => {
	// The coordinator's lease lapses while it lists a store. Its followers stay connected, and the store is closed for them.
	// The listing arrives afterwards; if published, its blocks would count as held again after the next grant, though another
	// holder may have freed them meanwhile, and an engine would read memory that no longer holds that prompt.
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
	const calledAddresses: string[] = [];
	const control: CacheStoreControl = {
		async list(address) {
			calledAddresses.push(address);
			return listed;
		},
		events: async () => Left('not called in this test'),
		free: async () => Right(undefined),
	};
	const published = new Set<string>();
	const managers = new CacheStoreManagers({
		control,
		clock,
		log: new DecisionLog({writableLength: 0, write: () => true}, {}, () => now),
		holdsLease: () => true,
		isExpired: () => false,
		publish(_store, {added, removed}) {
			for (const key of removed) {
				published.delete(key);
			}

			for (const [key] of added) {
				published.add(key);
			}
		},
	});
	managers.manage(stores, 1);
	while (calledAddresses.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	managers.close();
	answer!(Right({
		epoch: 1, next: 1, parts: [{salt: 's', id: 'p', tokens: 800}], partial: [],
	}));
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	assert.deepEqual([...published], []);
});

test('the manager that replaces a failed one waits until nothing published by it can be in use', async context => {
	// The coordinator comes back under its fencing number and publishes the blocks of a store again; then the manager fails.
	// If the wait counted from the time when the coordinator was away, the next manager would offer the store at once, and let
	// blocks be written again that followers still fetch by what the failed one published.
	let now = 0;
	let fails = false;
	const listedAt: number[] = [];
	const control: CacheStoreControl = {
		async list() {
			listedAt.push(now);
			return Right({
				epoch: 1, next: 1, parts: [], partial: [],
			});
		},
		async events() {
			if (fails) {
				throw new Error('a fault of the manager');
			}

			return Right({
				epoch: 1, next: 1, isIncomplete: false, added: [], removed: [], clockMilliseconds: now,
			});
		},
		free: async () => Right(undefined),
	};
	const managers = managersWithoutFollowers(control, () => now);
	context.after(() => {
		managers.close();
	});
	const manageAt = async (milliseconds: number): Promise<void> => {
		now = milliseconds;
		managers.manage(stores, 1);
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	};

	await manageAt(0);
	managers.close();
	const backAt = 10 * withdrawalMilliseconds;
	await manageAt(backAt);
	assert.deepEqual(listedAt, [backAt]);
	fails = true;
	await manageAt(backAt + 100);
	fails = false;
	await manageAt(backAt + 200);
	assert.deepEqual(listedAt, [backAt], 'the next manager lists the store at once');
	await manageAt(backAt + 200 + withdrawalMilliseconds);
	managers.close();
	assert.equal(listedAt.length, 2);
});

test('a coordinator that kept its lease offers its stores again as soon as nothing that it published can be in use', async () => {
	// The platform's table is unavailable for longer than the lease, and no other instance can acquire it. Back under the same
	// fencing number, the coordinator need not wait for what another one might have published; the prompts of its callers were
	// prefilled again meanwhile.
	let now = 0;
	let listings = 0;
	const control: CacheStoreControl = {
		async list() {
			listings++;
			return Left('counted only');
		},
		events: async () => Left('not called in this test'),
		free: async () => Right(undefined),
	};
	const managers = managersWithoutFollowers(control, () => now);
	const listsAfter = async (milliseconds: number, fencingNumber: number): Promise<boolean> => {
		now += milliseconds;
		listings = 0;
		managers.manage(stores, fencingNumber);
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		managers.close();
		return listings > 0;
	};

	assert.equal(await listsAfter(0, 1), false, 'a new coordinator lists the store too soon');
	assert.equal(await listsAfter(withdrawalMilliseconds, 1), true);
	assert.equal(await listsAfter(withdrawalMilliseconds - 1, 1), false, 'what it published may still be in use');
	assert.equal(await listsAfter(withdrawalMilliseconds, 3), false, 'another coordinator held the lease meanwhile');
});

/** Returns when managers with a handover first offer a store that lists one block, in steps of 100 ms. */
async function firstOffer(epoch: number, handover: Record<string, number>): Promise<number> {
	let now = 0;
	const control: CacheStoreControl = {
		list: async () => Right({
			epoch, next: 1, parts: [{salt: 's', id: 'p', tokens: 800}], partial: [],
		}),
		events: async () => Right({
			epoch, next: 1, isIncomplete: false, added: [], removed: [], clockMilliseconds: now,
		}),
		free: async () => Right(undefined),
	};
	const managers = managersWithoutFollowers(control, () => now);
	managers.manage(stores, 2, handover);
	while (managers.openStores().length === 0 && now < 10_000) {
		for (let turn = 0; turn < 20; turn++) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		now += 100;
	}

	managers.close();
	return now;
}

test('a store that has not restarted since the previous manager is offered at once, any other only when nothing older can be in use', async () => {
	// Guards against seconds without stores after each change of the coordinator, and against a block that is fetched while it
	// is written again in a store that came back empty.
	assert.ok(await firstOffer(7, {cache: 7}) < 500);
	assert.ok(await firstOffer(8, {cache: 7}) >= withdrawalMilliseconds);
	assert.ok(await firstOffer(7, {}) >= withdrawalMilliseconds);
});

test('a manager that replaces a failed one offers nothing until nothing older can be in use', async () => {
	// Guards against a block that is offered while an order of the failed manager to free it is in flight.
	let now = 0;
	let hasFailed = false;
	const epoch = 7;
	const managers = managersWithoutFollowers({
		list: async () => Right({
			epoch, next: 1, parts: [{salt: 's', id: 'p', tokens: 800}], partial: [],
		}),
		async events() {
			if (!hasFailed) {
				hasFailed = true;
				throw new Error('played');
			}

			return Right({
				epoch, next: 1, isIncomplete: false, added: [], removed: [], clockMilliseconds: now,
			});
		},
		free: async () => Right(undefined),
	}, () => now);
	const turns = async (): Promise<void> => {
		for (let turn = 0; turn < 20; turn++) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	};

	managers.manage(stores, 2, {cache: epoch});
	await turns();
	assert.equal(hasFailed, true);
	const failedAt = now;
	while (managers.openStores().length === 0 && now < 10_000) {
		managers.manage(stores, 2, {cache: epoch});
		await turns();
		now += 100;
	}

	managers.close();
	assert.ok(now - failedAt >= withdrawalMilliseconds, `offered again ${now - failedAt} ms after the failure`);
});
