import {hashOf} from '../../shared/hash-of.js';

/**
 * Chooses the store that a prompt's pieces belong to, by rendezvous hashing of its first piece: all instances agree
 * without a word, the pieces of one prefix stand together, and a store that goes moves only its own prefixes.
 *
 * @param pieceKeys - The prompt's pieces; at least one.
 * @param stores - Names of the stores; at least one.
 */
export function storeOf(pieceKeys: readonly string[], stores: readonly string[]): string {
	let best = stores[0]!;
	let bestHash = -1;
	for (const store of stores) {
		const hash = hashOf(`${pieceKeys[0]}|${store}`);
		if (hash > bestHash) {
			best = store;
			bestHash = hash;
		}
	}

	return best;
}
