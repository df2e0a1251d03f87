/** Saving blocks to a store that is late or hangs, with a clock that the test advances. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts/Either';
import {CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {type CacheStore, type CacheStoreFailure, type SealedBlock} from '../../ports/cache-store.js';
import {type ManualClock} from '../../test/manual-clock.js';
import {MemoryModelEngine} from '../../test/memory-model-engine.js';
import {TestEntry} from '../../test/test-entry.js';
import {BlockSaver} from './block-saver.js';

const pieceKeys = ['piece-1', 'piece-2', 'piece-3'];
const late = Left<CacheStoreFailure>({kind: 'unavailable', detail: 'it did not answer in time'});

/** An engine that has every block. */
class FullCacheEngine extends MemoryModelEngine {
	override async exportBlock(): Promise<Either<never, Buffer>> {
		return Right(Buffer.from('content'));
	}
}

/** Stores by address, each of which times out for a given number of queries. */
class LateStores implements CacheStore {
	readonly lateAnswers = new Map<string, number>();
	readonly queries = new Map<string, number>();
	readonly sealed: string[] = [];

	async findBlocks(address: string): Promise<Either<CacheStoreFailure, SealedBlock[]>> {
		this.queries.set(address, (this.queries.get(address) ?? 0) + 1);
		const left = this.lateAnswers.get(address) ?? 0;
		this.lateAnswers.set(address, left - 1);
		return left > 0 ? late : Right([]);
	}

	async write(): Promise<Either<CacheStoreFailure, void>> {
		return Right(undefined);
	}

	async seal(address: string, {pieceKey}: {pieceKey: string}): Promise<Either<CacheStoreFailure, void>> {
		this.sealed.push(`${address} ${pieceKey}`);
		return Right(undefined);
	}

	async read(): Promise<Either<CacheStoreFailure, Buffer>> {
		return late;
	}

	async leastRecentlyUsed(): Promise<Either<CacheStoreFailure, SealedBlock[]>> {
		return Right([]);
	}

	async free(): Promise<Either<CacheStoreFailure, void>> {
		return Right(undefined);
	}
}

function createScene() {
	const entry = new TestEntry();
	const stores = new LateStores();
	const saver = new BlockSaver({...entry.context, engine: new FullCacheEngine()}, stores, new CachedPrefixes());
	const saveTo = async (store: string): Promise<number> => {
		const order = {
			store, storeAddress: store, endpointAddress: 'engine-1', pieceKeys,
		};
		return advanceUntilDone(entry.clock, saver.save(order, new AbortController().signal));
	};

	return {entry, stores, saveTo};
}

/** Advances the clock in steps until the work is done. */
async function advanceUntilDone<Value>(clock: ManualClock, work: Promise<Value>): Promise<Value> {
	const over = new AbortController();
	const finished = work.finally(() => {
		over.abort();
	});
	while (!over.signal.aborted) {
		await nextTurn();
		clock.advance(50);
	}

	return finished;
}

test('blocks are saved although the store times out for the first of them', async () => {
	// A busy store does not answer two queries in time. The order is retried and the whole prompt is saved. Without retries it
	// would not be saved, and would be prefilled again when it returns.
	const {stores, saveTo} = createScene();
	stores.lateAnswers.set('store-1', 2);
	assert.equal(await saveTo('store-1'), pieceKeys.length);
	assert.deepEqual(stores.sealed, pieceKeys.map(key => `store-1 ${key}`));
});

test('a store that keeps timing out is skipped, and orders for another store do not wait for it', async () => {
	// A hung store is skipped after four attempts. The next order for it is dropped without a query, an order for another
	// store is executed, and two seconds later the first store is queried again.
	const {entry, stores, saveTo} = createScene();
	stores.lateAnswers.set('store-1', 4);
	assert.equal(await saveTo('store-1'), 0);
	assert.equal(await saveTo('store-1'), 0);
	assert.equal(stores.queries.get('store-1'), 4);
	assert.equal(await saveTo('store-2'), pieceKeys.length);
	entry.clock.advance(2000);
	assert.equal(await saveTo('store-1'), pieceKeys.length);
});
