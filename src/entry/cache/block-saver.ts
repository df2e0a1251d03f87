/**
 * Saves blocks from engines to stores in the background, one at a time, so that saving uses at most one transfer of this
 * instance on a store's link. The queue is bounded. Orders beyond the bound are dropped and counted, and their blocks are
 * prefilled again if they are needed.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {type Buffer} from 'node:buffer';
import {type CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {type CacheStore, type CacheStoreFailure} from '../../ports/cache-store.js';
import {sealOf} from '../../protocol/cache/block-seal.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';

const maxQueuedOrders = 64;
/** Number of blocks that are freed to save one when a store is full. */
const blocksFreedAtOnce = 4;
/**
 * Pauses before the retries of a block for which a store or an engine did not answer in time. No caller waits for a save, so
 * it is retried for longer than a query of a prompt: on a busy machine a store that otherwise answers within milliseconds is
 * 100 ms to 800 ms late at times. Without retries, the prompt is not saved and is prefilled again when it returns; this
 * happened to 95 of 448 returning prompts with real processes at a load of up to four for each core.
 */
const retryPausesMilliseconds = [200, 400, 800];
/**
 * A store that timed out for all retries of a block is skipped for this long. Otherwise the orders for a hung store would
 * each wait for it, and the queue would fill and drop the orders for other stores.
 */
const storePauseMilliseconds = 2000;

/** How saving one block ended. With all but the first two the block is not saved; the `late` outcomes are retried. */
type SaveOutcome = 'written' | 'already-there' | 'store-late' | 'engine-late' | 'store-full' | 'evicted';

/** An order to save blocks from an endpoint to a store. */
export type SaveOrder = {
	store: string;
	storeAddress: string;
	endpointAddress: string;
	pieceKeys: readonly string[];
};

export class BlockSaver implements Child {
	readonly name = 'piece-saver';
	readonly #context: EntryContext;
	readonly #stores: CacheStore;
	readonly #prefixes: CachedPrefixes;
	readonly #queue: SaveOrder[] = [];
	readonly #arrived = new EventTarget();
	/** By store, the time until which it is skipped, in milliseconds since the epoch. */
	readonly #pausedUntil = new Map<string, number>();

	constructor(context: EntryContext, stores: CacheStore, prefixes: CachedPrefixes) {
		this.#context = context;
		this.#stores = stores;
		this.#prefixes = prefixes;
	}

	/** Adds an order to the queue, or drops it if the queue is full. */
	enqueue(order: SaveOrder): void {
		if (this.#queue.length >= maxQueuedOrders) {
			this.#reportNotSaved(order.pieceKeys.length, 'queue');
			return;
		}

		this.#queue.push(order);
		this.#arrived.dispatchEvent(new Event('order'));
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const order = this.#queue.shift();
			await (order === undefined ? this.#nextArrival(signal) : this.save(order, signal));
		}
	}

	/**
	 * Saves the blocks of one order that the store does not have yet, up to the first one that cannot be saved.
	 *
	 * @param order - The blocks to save, with their source and destination.
	 * @param signal - Ends the pauses between retries.
	 * @returns The number of blocks written.
	 */
	async save(order: SaveOrder, signal: AbortSignal): Promise<number> {
		const {store, pieceKeys} = order;
		if (this.#context.clock.now() < (this.#pausedUntil.get(store) ?? 0)) {
			this.#reportNotSaved(pieceKeys.length, 'store-late');
			return 0;
		}

		let written = 0;
		for (const [index, pieceKey] of pieceKeys.entries()) {
			const outcome = await this.#saveWithRetries(pieceKey, order, signal);
			if (outcome !== 'written' && outcome !== 'already-there') {
				this.#reportNotSaved(pieceKeys.length - index, outcome);
				break;
			}

			this.#prefixes.add(store, [pieceKey]);
			written += outcome === 'written' ? 1 : 0;
		}

		this.#context.metrics.report('kept.pieces_saved', written);
		if (written > 0) {
			this.#context.timeline.record({kind: 'piece-written', at: this.#context.clock.now(), detail: `${written} to ${store}`});
		}

		return written;
	}

	async #saveWithRetries(pieceKey: string, order: SaveOrder, signal: AbortSignal): Promise<SaveOutcome> {
		const {clock} = this.#context;
		let outcome = await this.#saveOne(pieceKey, order);
		for (const pauseMilliseconds of retryPausesMilliseconds) {
			if (signal.aborted || (outcome !== 'store-late' && outcome !== 'engine-late')) {
				return outcome;
			}

			await clock.sleep(pauseMilliseconds, signal);
			outcome = await this.#saveOne(pieceKey, order);
		}

		if (outcome === 'store-late') {
			this.#pausedUntil.set(order.store, clock.now() + storePauseMilliseconds);
		}

		return outcome;
	}

	async #saveOne(pieceKey: string, {storeAddress, endpointAddress}: SaveOrder): Promise<SaveOutcome> {
		const found = await this.#stores.findBlocks(storeAddress, [pieceKey]);
		if (found.isLeft()) {
			return 'store-late';
		}

		if (found.orDefault([]).length > 0) {
			return 'already-there';
		}

		const exported = await this.#context.engine.exportBlock(endpointAddress, pieceKey);
		if (exported.isLeft()) {
			return 'engine-late';
		}

		const content = exported.orDefault(undefined);
		return content === undefined ? 'evicted' : this.#writeFreeingSpace(storeAddress, pieceKey, content);
	}

	async #writeFreeingSpace(storeAddress: string, pieceKey: string, content: Buffer): Promise<SaveOutcome> {
		let failure = await this.#write(storeAddress, pieceKey, content);
		if (failure?.kind === 'full') {
			await this.#freeSpace(storeAddress);
			failure = await this.#write(storeAddress, pieceKey, content);
		}

		if (failure === undefined) {
			return 'written';
		}

		return failure.kind === 'full' ? 'store-full' : 'store-late';
	}

	/**
	 * Writes a block under a new generation, then seals it. A writer that fails in between leaves a block without a seal,
	 * which the store never returns to a reader.
	 */
	async #write(storeAddress: string, pieceKey: string, content: Buffer): Promise<CacheStoreFailure | undefined> {
		const block = {pieceKey, generation: randomUUID()};
		const written = await this.#stores.write(storeAddress, block, content);
		if (written.isLeft()) {
			return written.extract();
		}

		const sealed = await this.#stores.seal(storeAddress, block, sealOf(content));
		return sealed.isLeft() ? sealed.extract() : undefined;
	}

	/**
	 * Frees the least recently used blocks. An instance that reads one of them meanwhile receives an error or content that
	 * does not match the seal, and the block is prefilled again.
	 */
	async #freeSpace(storeAddress: string): Promise<void> {
		const oldest = await this.#stores.leastRecentlyUsed(storeAddress, blocksFreedAtOnce);
		for (const {piece: block} of oldest.orDefault([])) {
			await this.#stores.free(storeAddress, block);
		}
	}

	#reportNotSaved(count: number, reason: SaveOutcome | 'queue'): void {
		this.#context.metrics.report('kept.pieces_not_saved', count, {reason});
	}

	async #nextArrival(signal: AbortSignal): Promise<void> {
		try {
			await once(this.#arrived, 'order', {signal});
		} catch {
			// The signal aborted; the loop checks it.
		}
	}
}
