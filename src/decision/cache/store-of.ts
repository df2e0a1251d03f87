import {hashOf} from '../../shared/hash-of.js';

/**
 * Chooses the store that owns a prompt's blocks, by rendezvous hashing of its first block: all instances agree without
 * communication, the blocks of one prefix are stored together, and a store that leaves moves only its own prefixes.
 *
 * @param blockKeys - The prompt's blocks; at least one.
 * @param stores - Names of the stores; at least one.
 */
export function storeOf(blockKeys: readonly string[], stores: readonly string[]): string {
	let best = stores[0]!;
	let bestHash = -1;
	for (const store of stores) {
		const hash = hashOf(`${blockKeys[0]}|${store}`);
		if (hash > bestHash) {
			best = store;
			bestHash = hash;
		}
	}

	return best;
}
