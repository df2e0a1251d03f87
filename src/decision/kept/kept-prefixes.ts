/**
 * What this instance believes of who holds which cache pieces: engines and stores, by name.
 *
 * Load it answers: prompts that return to one of many endpoints. Without it a returning prompt lands where its prefix is
 * not, and is recomputed. All of it is a hint. Events come late and with gaps, so a belief may be wrong in both ways: a
 * piece that went unseen costs one miss, after which the answer's own count of cached tokens corrects the belief; a piece
 * that is not known of costs one recompute, after which it is known. The room per holder is bounded as the holder's own
 * is, and given up in the same order, so a lost eviction is forgotten about when the holder forgets, and memory is bounded.
 */
import {type CacheEvent} from '../../ports/model-engine.js';

/** Pieces believed to be at a holder that has not said how much room it has. */
const defaultRoomPieces = 4096;

/**
 * So many unknown pieces in a row are passed over when a later one of the same prefix is known. The pieces of a prefix
 * come and go together, the last ones first; a hole is nearly always a lost event. With one event in fifty lost, a prefix
 * of eighteen pieces would otherwise be known whole in two cases of three only.
 */
const holePieces = 2;

type Holder = {name: string; room: number; lastSequence: number; gaps: number; keys: Set<string>};

export class KeptPrefixes {
	readonly #holders = new Map<string, Holder>();
	readonly #holdersOfKey = new Map<string, Set<string>>();

	/** Takes pieces that a holder now has, by its own word or because it just ran a prompt with them. */
	learn(name: string, pieceKeys: readonly string[]): void {
		const holder = this.#holderOf(name);
		for (const key of pieceKeys) {
			holder.keys.delete(key);
			holder.keys.add(key);
			this.#setOf(key).add(name);
		}

		while (holder.keys.size > holder.room) {
			this.#forgetKey(holder, holder.keys.values().next().value!);
		}
	}

	/** Takes pieces that a holder turned out not to have. */
	forget(name: string, pieceKeys: readonly string[]): void {
		const holder = this.#holderOf(name);
		for (const key of pieceKeys) {
			this.#forgetKey(holder, key);
		}
	}

	/** Forgets all of a holder: it left, died, or its content was thrown away. */
	forgetHolder(name: string): void {
		const holder = this.#holderOf(name);
		this.forget(name, [...holder.keys]);
		this.#holders.delete(name);
	}

	/** Sets how many pieces a holder has room for. */
	setRoom(name: string, pieces: number): void {
		this.#holderOf(name).room = pieces;
	}

	/**
	 * Takes a holder's cache events. A repeated or older one is passed over. After a hole the beliefs stay: dropping them
	 * all would recompute every prefix of that holder, where a wrong one costs a single miss.
	 */
	takeEvents(name: string, events: readonly CacheEvent[]): void {
		const holder = this.#holderOf(name);
		for (const {sequence, kind, pieceKey} of events) {
			if (sequence <= holder.lastSequence) {
				continue;
			}

			holder.gaps += holder.lastSequence > 0 && sequence > holder.lastSequence + 1 ? 1 : 0;
			holder.lastSequence = sequence;
			if (kind === 'stored') {
				this.learn(name, [pieceKey]);
			} else {
				this.#forgetKey(holder, pieceKey);
			}
		}
	}

	/** The newest event taken from a holder; 0 before the first. */
	lastSequenceOf(name: string): number {
		return this.#holders.get(name)?.lastSequence ?? 0;
	}

	/** How many holes there were in a holder's events. */
	gapsOf(name: string): number {
		return this.#holders.get(name)?.gaps ?? 0;
	}

	/** True if somebody is believed to hold the piece. */
	isKept(pieceKey: string, holders?: ReadonlySet<string>): boolean {
		const found = this.#holdersOfKey.get(pieceKey);
		return found !== undefined && (holders === undefined || [...found].some(name => holders.has(name)));
	}

	/**
	 * Says how many leading pieces of a prompt each holder is believed to have.
	 *
	 * @param pieceKeys - The prompt's pieces, first one first.
	 * @returns Pieces by holder; holders of none are absent.
	 */
	leadingPieces(pieceKeys: readonly string[]): Map<string, number> {
		const counts = new Map<string, number>();
		let known = 0;
		for (const [index, key] of pieceKeys.entries()) {
			for (const name of this.#holdersOfKey.get(key) ?? []) {
				if (index - (counts.get(name) ?? 0) <= holePieces) {
					counts.set(name, index + 1);
					known = index + 1;
				}
			}

			if (index - known >= holePieces) {
				break;
			}
		}

		return counts;
	}

	#holderOf(name: string): Holder {
		let holder = this.#holders.get(name);
		if (holder === undefined) {
			holder = {
				name, room: defaultRoomPieces, lastSequence: 0, gaps: 0, keys: new Set(),
			};
			this.#holders.set(name, holder);
		}

		return holder;
	}

	#setOf(key: string): Set<string> {
		let names = this.#holdersOfKey.get(key);
		if (names === undefined) {
			names = new Set();
			this.#holdersOfKey.set(key, names);
		}

		return names;
	}

	#forgetKey(holder: Holder, key: string): void {
		holder.keys.delete(key);
		const names = this.#holdersOfKey.get(key);
		names?.delete(holder.name);
		if (names?.size === 0) {
			this.#holdersOfKey.delete(key);
		}
	}
}
