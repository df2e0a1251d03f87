/** Baseline: every block that its store is not known to have is saved at once, whatever the link already carries. */
import {type PrefilledPrompt, type KeepingAction, type KeepingPolicy} from './keeping-policy.js';
import {type KeptPrefixes} from './kept-prefixes.js';
import {storeOf} from './store-of.js';

export class SaveAllKeeping implements KeepingPolicy {
	readonly #prefixes: KeptPrefixes;
	readonly #stores: readonly string[];

	constructor(prefixes: KeptPrefixes, stores: readonly string[]) {
		this.#prefixes = prefixes;
		this.#stores = stores;
	}

	prefilled({endpoint, pieceKeys}: PrefilledPrompt): KeepingAction[] {
		if (pieceKeys.length === 0 || this.#stores.length === 0) {
			return [];
		}

		const store = storeOf(pieceKeys, this.#stores);
		const fresh = pieceKeys.slice(this.#prefixes.leadingPieces(pieceKeys).get(store) ?? 0);
		return fresh.length === 0
			? []
			: [{
				kind: 'save', endpoint, store, pieceKeys: fresh,
			}];
	}
}
