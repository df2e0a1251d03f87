/** Baseline: every block that its store is not known to have is saved at once, whatever the link already carries. */
import {type PrefilledPrompt, type SaveAction, type SavePolicy} from './save-policy.js';
import {type CachedPrefixes} from './cached-prefixes.js';
import {storeOf} from './store-of.js';

export class SaveAllPolicy implements SavePolicy {
	readonly #prefixes: CachedPrefixes;
	readonly #stores: readonly string[];

	constructor(prefixes: CachedPrefixes, stores: readonly string[]) {
		this.#prefixes = prefixes;
		this.#stores = stores;
	}

	prefilled({endpoint, pieceKeys}: PrefilledPrompt): SaveAction[] {
		if (pieceKeys.length === 0 || this.#stores.length === 0) {
			return [];
		}

		const store = storeOf(pieceKeys, this.#stores);
		const fresh = pieceKeys.slice(this.#prefixes.leadingBlocks(pieceKeys).get(store) ?? 0);
		return fresh.length === 0
			? []
			: [{
				kind: 'save', endpoint, store, pieceKeys: fresh,
			}];
	}
}
