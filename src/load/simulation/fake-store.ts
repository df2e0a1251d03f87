/**
 * A fake cache store in virtual time: a fast tier and a slow tier of bounded room, behind one limited link that
 * carries one transfer after the other, so that a crowd at the link waits.
 */
import {type CacheEvent} from '../../ports/model-engine.js';
import {type EventQueue} from './event-queue.js';
import {RecencySet} from './recency-set.js';

/** How large and fast a store is. */
export type StoreSize = {
	memoryPieces: number;
	diskPieces: number;
	pieceBytes: number;
	linkBytesPerSecond: number;
	diskBytesPerSecond: number;
};

export class FakeStore {
	readonly name: string;
	/** Times that the link is slower than it should be. */
	slowness = 1;
	isDead = false;
	isFull = false;
	linkBytes = 0;
	readonly #queue: EventQueue;
	readonly #size: StoreSize;
	readonly #memory: RecencySet;
	readonly #disk: RecencySet;
	readonly #publish: (event: CacheEvent) => void;
	#linkFreeAt = 0;
	#sequence = 0;

	constructor(name: string, size: StoreSize, surroundings: {queue: EventQueue; publish: (event: CacheEvent) => void}) {
		this.name = name;
		this.#size = size;
		this.#queue = surroundings.queue;
		this.#publish = surroundings.publish;
		this.#memory = new RecencySet(size.memoryPieces);
		this.#disk = new RecencySet(size.diskPieces);
	}

	/** Has pieces from before the run, without using the link. */
	preload(pieceKeys: readonly string[]): void {
		for (const key of pieceKeys) {
			this.#keep(key);
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
		}
	}

	/** How long a piece takes on an idle link, from the slower tier. */
	get idleMillisecondsPerPiece(): number {
		return 1000 * this.#size.pieceBytes / Math.min(this.#size.linkBytesPerSecond, this.#size.diskBytesPerSecond);
	}

	/** Reads the leading pieces that are there; a missing one ends the run. `done` gets what arrived. */
	fetch(pieceKeys: readonly string[], done: (found: readonly string[]) => void): void {
		const missing = this.isDead ? 0 : pieceKeys.findIndex(key => !this.#memory.has(key) && !this.#disk.has(key));
		const found = missing === -1 ? pieceKeys : pieceKeys.slice(0, missing);
		const milliseconds = found.reduce((sum, key) => sum + this.#readMilliseconds(key), 0);
		for (const key of found) {
			this.#keep(key);
		}

		this.#occupyLink(milliseconds, found.length, () => {
			done(found);
		});
	}

	/** Writes pieces. A full or dead store takes none. */
	save(pieceKeys: readonly string[]): void {
		if (this.isFull || this.isDead) {
			return;
		}

		const [key, ...rest] = pieceKeys.filter(piece => !this.#memory.has(piece) && !this.#disk.has(piece));
		if (key === undefined) {
			return;
		}

		this.#occupyLink(1000 * this.#size.pieceBytes / this.#size.linkBytesPerSecond, 1, () => {
			this.#keep(key);
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
			this.save(rest);
		});
	}

	#readMilliseconds(key: string): number {
		const rate = this.#memory.has(key) ? this.#size.linkBytesPerSecond : Math.min(this.#size.linkBytesPerSecond, this.#size.diskBytesPerSecond);
		return 1000 * this.#size.pieceBytes / rate;
	}

	#occupyLink(milliseconds: number, pieces: number, done: () => void): void {
		this.linkBytes += pieces * this.#size.pieceBytes;
		this.#linkFreeAt = Math.max(this.#queue.now, this.#linkFreeAt) + (milliseconds * this.slowness);
		this.#queue.after(this.#linkFreeAt - this.#queue.now, done);
	}

	#keep(key: string): void {
		for (const toDisk of this.#memory.keep(key)) {
			for (const gone of this.#disk.keep(toDisk)) {
				this.#publish({sequence: ++this.#sequence, kind: 'evicted', pieceKey: gone});
			}
		}
	}
}
