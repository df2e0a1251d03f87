/**
 * The known content of one cache store that evicts nothing by itself, and the choice of the blocks to free.
 *
 * Invariant: no engine reads a block that is incomplete or is freed during the read. A block is offered only once the store
 * reports it complete. It is withdrawn before it is freed, and freed only when no engine can still use it; see
 * `block-times.ts`. A restarted store is empty, and a request from before the restart may rewrite a block that other
 * instances still consider complete: so the store is closed for reads and writes for the same time before it offers blocks.
 */
import {type StoredPart, type StoreEvents, type StoreListing} from '../../ports/cache-store-control.js';
import {partKey, partNamedBy} from './part-key.js';
import {withdrawalMilliseconds} from './part-times.js';

/** The blocks that a store or an engine has gained and lost, as published to followers. Keys are `salt|id`. */
export type PartsChange = {
	added: Array<[key: string, tokens: number]>;
	removed: string[];
};

/** Blocks are withdrawn when more than this share of the store's capacity is in use. */
const highShare = 0.94;
/**
 * Blocks are withdrawn until no more than this share is in use. The rest is for blocks that are being written, which events do
 * not report. A block that finds no room is only not saved, and a later request tries again. Unused room, where the blocks in
 * use fill the stores, costs repeated prefills.
 */
const lowShare = 0.88;
/** Engines and stores allocate memory in units of this many tokens. */
const blockTokens = 16;

type Entry = {tokens: number; usedAt: number};

export class StoreLedger {
	readonly #capacityTokens: number;
	readonly #parts = new Map<string, Entry>();
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
	mayOpen(now: number): boolean {
		return now >= this.#closedUntil;
	}

	/** Lets the content be offered at once. Call it only if the store has not restarted since the last report to followers. */
	reopen(): void {
		this.#closedUntil = 0;
	}

	/** Returns all offered blocks. */
	offered(): Array<[key: string, tokens: number]> {
		return [...this.#parts].map(([key, {tokens}]) => [key, tokens]);
	}

	/** Applies a listing of the whole store. */
	takeListing({epoch, parts, partial}: StoreListing, now: number): PartsChange {
		const change: PartsChange = {added: [], removed: []};
		this.#epoch = epoch;
		const listed = new Set(parts.map(part => partKey(part)));
		for (const key of this.#parts.keys()) {
			if (!listed.has(key)) {
				this.#drop(key, change);
			}
		}

		for (const part of parts) {
			this.#add(part, now, change);
		}

		this.#heldTokens = [...parts, ...partial].reduce((sum, {tokens}) => sum + inBlocks(tokens), 0);
		return change;
	}

	/** Applies events of the same epoch. */
	takeEvents({added, removed}: StoreEvents, now: number): PartsChange {
		const change: PartsChange = {added: [], removed: []};
		for (const part of added) {
			this.#heldTokens += this.#knows(part) ? 0 : inBlocks(part.tokens);
			this.#add(part, now, change);
		}

		for (const part of removed) {
			this.#heldTokens -= this.#knows(part) ? inBlocks(this.#tokensOf(part)) : 0;
			this.#drop(partKey(part), change);
			this.#withdrawn.delete(partKey(part));
		}

		return change;
	}

	/** Closes a store that cannot be reached or has restarted: it offers nothing until all earlier reports have expired. */
	close(now: number): PartsChange {
		const change: PartsChange = {added: [], removed: [...this.#parts.keys()]};
		this.#parts.clear();
		this.#withdrawn.clear();
		this.#offeredTokens = 0;
		this.#heldTokens = 0;
		this.#epoch = undefined;
		this.#closedUntil = now + withdrawalMilliseconds;
		return change;
	}

	/** Marks a block as used now. */
	use(key: string, now: number): void {
		const entry = this.#parts.get(key);
		if (entry !== undefined) {
			// The map is in order of last use.
			this.#parts.delete(key);
			this.#parts.set(key, {...entry, usedAt: now});
		}
	}

	/**
	 * Withdraws the blocks that no engine can use any more, and the least recently used ones if the store is too full.
	 *
	 * @param now - Milliseconds of the steady clock, as in all methods.
	 * @param isExpired - Whether no engine can use the blocks of a salt, because none serves its weight version any more. New
	 * weights fill the stores with new blocks within seconds, faster than eviction of a few percent at a time makes room.
	 */
	withdraw(now: number, isDead: (salt: string) => boolean = () => false): PartsChange {
		const change: PartsChange = {added: [], removed: []};
		for (const [key, {tokens}] of this.#parts) {
			if (isDead(partNamedBy(key).salt)) {
				this.#withdraw(key, tokens, now, change);
			}
		}

		let willHold = this.#heldTokens - [...this.#withdrawn.values()].reduce((sum, {tokens}) => sum + inBlocks(tokens), 0);
		if (willHold <= highShare * this.#capacityTokens) {
			return change;
		}

		for (const [key, {tokens}] of this.#parts) {
			if (willHold <= lowShare * this.#capacityTokens) {
				break;
			}

			willHold -= inBlocks(tokens);
			this.#withdraw(key, tokens, now, change);
		}

		return change;
	}

	/** Returns the withdrawn blocks that may be freed now. */
	dueToFree(now: number): Array<{salt: string; id: string}> {
		return [...this.#withdrawn]
			.filter(([, {freeAt}]) => freeAt <= now)
			.map(([key]) => partNamedBy(key));
	}

	/** Removes blocks that the store has freed. */
	freed(parts: ReadonlyArray<{salt: string; id: string}>): void {
		for (const part of parts) {
			const withdrawn = this.#withdrawn.get(partKey(part));
			this.#heldTokens -= withdrawn === undefined ? 0 : inBlocks(withdrawn.tokens);
			this.#withdrawn.delete(partKey(part));
		}
	}

	#withdraw(key: string, tokens: number, now: number, change: PartsChange): void {
		this.#parts.delete(key);
		this.#offeredTokens -= tokens;
		this.#withdrawn.set(key, {tokens, freeAt: now + withdrawalMilliseconds});
		change.removed.push(key);
	}

	#add(part: StoredPart, now: number, change: PartsChange): void {
		const key = partKey(part);
		// A withdrawn block stays withdrawn and will be freed, even if a late event reports it as added.
		if (this.#withdrawn.has(key) || this.#parts.has(key)) {
			return;
		}

		this.#parts.set(key, {tokens: part.tokens, usedAt: now});
		this.#offeredTokens += part.tokens;
		change.added.push([key, part.tokens]);
	}

	#drop(key: string, change: PartsChange): void {
		const entry = this.#parts.get(key);
		if (entry !== undefined) {
			this.#parts.delete(key);
			this.#offeredTokens -= entry.tokens;
			change.removed.push(key);
		}
	}

	#knows(part: StoredPart): boolean {
		return this.#parts.has(partKey(part)) || this.#withdrawn.has(partKey(part));
	}

	#tokensOf(part: StoredPart): number {
		return this.#parts.get(partKey(part))?.tokens ?? this.#withdrawn.get(partKey(part))?.tokens ?? 0;
	}
}

function inBlocks(tokens: number): number {
	return Math.ceil(tokens / blockTokens) * blockTokens;
}
