/**
 * The known content of one cache store that evicts nothing by itself, and the choice of the blocks to free.
 *
 * Invariant: no engine reads a block that is incomplete or is freed during the read. A block is offered only once the store
 * reports it complete. It is withdrawn before it is freed, and freed only when no engine can still use it; see
 * `block-times.ts`. A restarted store is empty, and a request from before the restart may rewrite a block that other
 * instances still consider complete: so the store is closed for reads and writes for the same time before it offers blocks.
 */
import {type StoredBlock, type StoreEvents, type StoreListing} from '../../ports/cache-store-control.js';
import {blockKey, parseBlockKey} from './block-key.js';
import {withdrawalMilliseconds} from './block-times.js';

/** The blocks that a store or an engine has gained and lost, as published to followers. Keys are `salt|id`. */
export type BlockChanges = {
	added: Array<[key: string, tokens: number]>;
	removed: string[];
};

/** Blocks are withdrawn when more than this share of the store's capacity is in use. */
const highWatermarkShare = 0.94;
/**
 * Blocks are withdrawn until no more than this share is in use. The rest is for blocks that are being written, which events do
 * not report. A block that finds no room is only not saved, and a later request tries again. Unused room, where the blocks in
 * use fill the stores, costs repeated prefills.
 */
const lowWatermarkShare = 0.88;
/** Engines and stores allocate memory in units of this many tokens. */
const allocationUnitTokens = 16;

type Entry = {tokens: number; usedAt: number};

export class StoreInventory {
	readonly #capacityTokens: number;
	readonly #offeredBlocks = new Map<string, Entry>();
	/** Withdrawn blocks, and the time at which each may be freed. */
	readonly #withdrawn = new Map<string, {tokens: number; freeAt: number}>();
	#epoch: number | undefined;
	#closedUntil = 0;
	#heldTokens = 0;
	#offeredTokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	get epoch(): number | undefined {
		return this.#epoch;
	}

	get heldTokens(): number {
		return this.#heldTokens;
	}

	/** The tokens of all offered blocks. */
	get offeredTokens(): number {
		return this.#offeredTokens;
	}

	/** Whether blocks may be saved and fetched. */
	isOpen(now: number): boolean {
		return this.#epoch !== undefined && now >= this.#closedUntil;
	}

	/** Whether the store may be listed now; an earlier listing could offer a block that is being rewritten. */
	canOpen(now: number): boolean {
		return now >= this.#closedUntil;
	}

	/** Lets the content be offered at once. Call it only if the store has not restarted since the last report to followers. */
	reopen(): void {
		this.#closedUntil = 0;
	}

	/** Returns all offered blocks. */
	offered(): Array<[key: string, tokens: number]> {
		return [...this.#offeredBlocks].map(([key, {tokens}]) => [key, tokens]);
	}

	/** Applies a listing of the whole store. */
	applyListing({epoch, parts: blocks, partial}: StoreListing, now: number): BlockChanges {
		const change: BlockChanges = {added: [], removed: []};
		this.#epoch = epoch;
		const listed = new Set(blocks.map(block => blockKey(block)));
		for (const key of this.#offeredBlocks.keys()) {
			if (!listed.has(key)) {
				this.#removeOffered(key, change);
			}
		}

		for (const block of blocks) {
			this.#offer(block, now, change);
		}

		this.#heldTokens = [...blocks, ...partial].reduce((sum, {tokens}) => sum + roundUpToAllocationUnit(tokens), 0);
		return change;
	}

	/** Applies events of the same epoch. */
	applyEvents({added, removed}: StoreEvents, now: number): BlockChanges {
		const change: BlockChanges = {added: [], removed: []};
		for (const block of added) {
			this.#heldTokens += this.#isKnown(block) ? 0 : roundUpToAllocationUnit(block.tokens);
			this.#offer(block, now, change);
		}

		for (const block of removed) {
			this.#heldTokens -= this.#isKnown(block) ? roundUpToAllocationUnit(this.#tokensOf(block)) : 0;
			this.#removeOffered(blockKey(block), change);
			this.#withdrawn.delete(blockKey(block));
		}

		return change;
	}

	/** Closes a store that cannot be reached or has restarted: it offers nothing until all earlier reports have expired. */
	close(now: number): BlockChanges {
		const change: BlockChanges = {added: [], removed: [...this.#offeredBlocks.keys()]};
		this.#offeredBlocks.clear();
		this.#withdrawn.clear();
		this.#offeredTokens = 0;
		this.#heldTokens = 0;
		this.#epoch = undefined;
		this.#closedUntil = now + withdrawalMilliseconds;
		return change;
	}

	/** Marks a block as used now. */
	markUsed(key: string, now: number): void {
		const entry = this.#offeredBlocks.get(key);
		if (entry !== undefined) {
			// The map is in order of last use.
			this.#offeredBlocks.delete(key);
			this.#offeredBlocks.set(key, {...entry, usedAt: now});
		}
	}

	/**
	 * Withdraws the blocks that no engine can use any more, and the least recently used ones if the store is too full.
	 *
	 * @param now - Milliseconds of the steady clock, as in all methods.
	 * @param isExpired - Whether no engine can use the blocks of a salt, because none serves its weight version any more. New
	 * weights fill the stores with new blocks within seconds, faster than eviction of a few percent at a time makes room.
	 */
	withdraw(now: number, isExpired: (salt: string) => boolean = () => false): BlockChanges {
		const change: BlockChanges = {added: [], removed: []};
		for (const [key, {tokens}] of this.#offeredBlocks) {
			if (isExpired(parseBlockKey(key).salt)) {
				this.#withdraw(key, tokens, now, change);
			}
		}

		let willHold = this.#heldTokens - [...this.#withdrawn.values()].reduce((sum, {tokens}) => sum + roundUpToAllocationUnit(tokens), 0);
		if (willHold <= highWatermarkShare * this.#capacityTokens) {
			return change;
		}

		for (const [key, {tokens}] of this.#offeredBlocks) {
			if (willHold <= lowWatermarkShare * this.#capacityTokens) {
				break;
			}

			willHold -= roundUpToAllocationUnit(tokens);
			this.#withdraw(key, tokens, now, change);
		}

		return change;
	}

	/** Returns the withdrawn blocks that may be freed now. */
	dueToFree(now: number): Array<{salt: string; id: string}> {
		return [...this.#withdrawn]
			.filter(([, {freeAt}]) => freeAt <= now)
			.map(([key]) => parseBlockKey(key));
	}

	/** Removes blocks that the store has freed. */
	markFreed(blocks: ReadonlyArray<{salt: string; id: string}>): void {
		for (const block of blocks) {
			const withdrawn = this.#withdrawn.get(blockKey(block));
			this.#heldTokens -= withdrawn === undefined ? 0 : roundUpToAllocationUnit(withdrawn.tokens);
			this.#withdrawn.delete(blockKey(block));
		}
	}

	#withdraw(key: string, tokens: number, now: number, change: BlockChanges): void {
		this.#offeredBlocks.delete(key);
		this.#offeredTokens -= tokens;
		this.#withdrawn.set(key, {tokens, freeAt: now + withdrawalMilliseconds});
		change.removed.push(key);
	}

	#offer(block: StoredBlock, now: number, change: BlockChanges): void {
		const key = blockKey(block);
		// A withdrawn block stays withdrawn and will be freed, even if a late event reports it as added.
		if (this.#withdrawn.has(key) || this.#offeredBlocks.has(key)) {
			return;
		}

		this.#offeredBlocks.set(key, {tokens: block.tokens, usedAt: now});
		this.#offeredTokens += block.tokens;
		change.added.push([key, block.tokens]);
	}

	#removeOffered(key: string, change: BlockChanges): void {
		const entry = this.#offeredBlocks.get(key);
		if (entry !== undefined) {
			this.#offeredBlocks.delete(key);
			this.#offeredTokens -= entry.tokens;
			change.removed.push(key);
		}
	}

	#isKnown(block: StoredBlock): boolean {
		return this.#offeredBlocks.has(blockKey(block)) || this.#withdrawn.has(blockKey(block));
	}

	#tokensOf(block: StoredBlock): number {
		return this.#offeredBlocks.get(blockKey(block))?.tokens ?? this.#withdrawn.get(blockKey(block))?.tokens ?? 0;
	}
}

function roundUpToAllocationUnit(tokens: number): number {
	return Math.ceil(tokens / allocationUnitTokens) * allocationUnitTokens;
}
