/**
 * What the keeper knows of one cache store that drops nothing by itself, and which parts it frees.
 *
 * What must hold: no engine reads a part that is not whole, or that is freed meanwhile. A part is offered only once the
 * store reports it whole. Before it is freed it is withdrawn, and freed only when nobody can still use it; see
 * `part-times.ts`. A store that restarts is empty, and a request that was sent before may write a part anew that others
 * still take for whole: so the store is closed for the same time, for reads and writes, before anything in it is offered.
 */
import {type StoredPart, type StoreEvents, type StoreListing} from '../../ports/cache-store-control.js';
import {partKey, partNamedBy} from './part-key.js';
import {withdrawalMilliseconds} from './part-times.js';

/** What a holder of parts has got and lost, as followers are told. Keys are `salt|id`. */
export type PartsChange = {
	added: Array<[key: string, tokens: number]>;
	removed: string[];
};

/** Parts are freed when a store is fuller than this, */
const highShare = 0.94;
/**
 * Down to this. The rest is room for parts that are being written, which events do not tell of. A part that finds no room
 * is only not saved, and tried again; room that lies empty is parts read again, where the parts in use fill the stores.
 */
const lowShare = 0.88;
/** Engines and stores keep memory in blocks. */
const blockTokens = 16;

type Entry = {tokens: number; usedAt: number};

export class StoreLedger {
	readonly #capacityTokens: number;
	readonly #parts = new Map<string, Entry>();
	/** Withdrawn parts and when they may be freed. */
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

	/** Tokens of all offered parts. */
	get offeredTokens(): number {
		return this.#offeredTokens;
	}

	/** Whether parts may be saved and fetched. */
	isOpen(now: number): boolean {
		return this.#epoch !== undefined && now >= this.#closedUntil;
	}

	/** Whether the store may be listed now; a listing that is taken sooner could offer a part that is written anew. */
	mayOpen(now: number): boolean {
		return now >= this.#closedUntil;
	}

	/** The store is known not to have restarted since followers were told of it last: what it holds may be offered at once. */
	reopen(): void {
		this.#closedUntil = 0;
	}

	/** All offered parts. */
	offered(): Array<[key: string, tokens: number]> {
		return [...this.#parts].map(([key, {tokens}]) => [key, tokens]);
	}

	/** Takes a whole listing. */
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

	/** Takes events of the same epoch. */
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

	/** The store is out of reach or has restarted: nothing in it is offered until nobody can believe anything older. */
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

	/** Notes that a part was used. */
	use(key: string, now: number): void {
		const entry = this.#parts.get(key);
		if (entry !== undefined) {
			// The order of the map is the order of use.
			this.#parts.delete(key);
			this.#parts.set(key, {...entry, usedAt: now});
		}
	}

	/**
	 * Withdraws the parts that nobody can use any more, and those that were unused for longest if the store is too full.
	 *
	 * @param isDead - Whether no engine can use what lies under a salt: its weights are gone everywhere. New weights fill the
	 * stores with new parts within seconds, faster than room is made one tenth at a time.
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

	/** The withdrawn parts that may be freed now. */
	dueToFree(now: number): Array<{salt: string; id: string}> {
		return [...this.#withdrawn]
			.filter(([, {freeAt}]) => freeAt <= now)
			.map(([key]) => partNamedBy(key));
	}

	/** Notes that the store has freed parts. */
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
		// A withdrawn part stays withdrawn: it will be freed, whatever a late event says.
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
