/**
 * A fake cache store in virtual time: a memory tier and a slower disk tier of bounded capacity, behind one link of limited
 * bandwidth. The link carries one transfer at a time, so that concurrent transfers queue.
 */
import {type CacheEvent} from '../../ports/model-engine.js';
import {type EventQueue} from './event-queue.js';
import {LruSet} from './lru-set.js';

/** Capacity and speed of a store. */
export type StoreSize = {
	memoryPieces: number;
	diskPieces: number;
	pieceBytes: number;
	linkBytesPerSecond: number;
	diskBytesPerSecond: number;
};

export class FakeStore {
	readonly name: string;
	/** Factor by which the duration of each transfer is multiplied. */
	slowdownFactor = 1;
	isDown = false;
	isFull = false;
	linkBytes = 0;
	readonly #queue: EventQueue;
	readonly #size: StoreSize;
	readonly #memory: LruSet;
	readonly #disk: LruSet;
	readonly #publish: (event: CacheEvent) => void;
	#linkFreeAt = 0;
	#sequence = 0;

	constructor(name: string, size: StoreSize, dependencies: {queue: EventQueue; publish: (event: CacheEvent) => void}) {
		this.name = name;
		this.#size = size;
		this.#queue = dependencies.queue;
		this.#publish = dependencies.publish;
		this.#memory = new LruSet(size.memoryPieces);
		this.#disk = new LruSet(size.diskPieces);
	}

	/** Adds blocks that were saved before the run, without using the link. */
	preload(pieceKeys: readonly string[]): void {
		for (const key of pieceKeys) {
			this.#add(key);
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
		}
	}

	/** Milliseconds that a block takes from the slower tier on an idle link. */
	get idleMillisecondsPerBlock(): number {
		return 1000 * this.#size.pieceBytes / Math.min(this.#size.linkBytesPerSecond, this.#size.diskBytesPerSecond);
	}

	/** Reads the leading blocks up to the first that is missing. `done` receives the keys of the blocks that were read. */
	fetch(pieceKeys: readonly string[], done: (found: readonly string[]) => void): void {
		const missing = this.isDown ? 0 : pieceKeys.findIndex(key => !this.#memory.has(key) && !this.#disk.has(key));
		const found = missing === -1 ? pieceKeys : pieceKeys.slice(0, missing);
		const milliseconds = found.reduce((sum, key) => sum + this.#readMilliseconds(key), 0);
		for (const key of found) {
			this.#add(key);
		}

		this.#occupyLink(milliseconds, found.length, () => {
			done(found);
		});
	}

	/** Writes the blocks that are not stored yet, one after the other. A store that is full or down writes none. */
	save(pieceKeys: readonly string[]): void {
		if (this.isFull || this.isDown) {
			return;
		}

		const [key, ...rest] = pieceKeys.filter(blockKey => !this.#memory.has(blockKey) && !this.#disk.has(blockKey));
		if (key === undefined) {
			return;
		}

		this.#occupyLink(1000 * this.#size.pieceBytes / this.#size.linkBytesPerSecond, 1, () => {
			this.#add(key);
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
			this.save(rest);
		});
	}

	#readMilliseconds(key: string): number {
		const rate = this.#memory.has(key) ? this.#size.linkBytesPerSecond : Math.min(this.#size.linkBytesPerSecond, this.#size.diskBytesPerSecond);
		return 1000 * this.#size.pieceBytes / rate;
	}

	#occupyLink(milliseconds: number, blocks: number, done: () => void): void {
		this.linkBytes += blocks * this.#size.pieceBytes;
		this.#linkFreeAt = Math.max(this.#queue.now, this.#linkFreeAt) + (milliseconds * this.slowdownFactor);
		this.#queue.after(this.#linkFreeAt - this.#queue.now, done);
	}

	#add(key: string): void {
		for (const toDisk of this.#memory.add(key)) {
			for (const evicted of this.#disk.add(toDisk)) {
				this.#publish({sequence: ++this.#sequence, kind: 'evicted', pieceKey: evicted});
			}
		}
	}
}
