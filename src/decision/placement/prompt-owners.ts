/**
 * Determines which engine owns the last shared block of a prompt, and so prefills the block if no engine has it cached.
 * Owners follow from rendezvous hashing and are the same at all instances.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {extendHash, finishHash, hashStateOf} from '../../shared/hash-of.js';
import {type PromptShape} from '../../shared/prompt-shape.js';

/**
 * Returns the owner of a prompt's last shared block, and the engines that replace the owner in turn if it leaves.
 *
 * @param prompt - Its last shared block counts; its own block if it shares none.
 * @param cacheScope - The scope within which cached blocks are shared.
 * @param endpoints - The engines to choose from. If one joins or leaves, only the blocks that it owns change their owner.
 * @param count - Maximum number of engines to return.
 * @returns The owner first; empty without engines or blocks.
 */
export function ownersOf({blocks}: PromptShape, cacheScope: string, endpoints: readonly EndpointRecord[], count: number): EndpointRecord[] {
	const block = blocks.at(-2) ?? blocks.at(-1);
	if (block === undefined) {
		return [];
	}

	// Each prompt hashes the name of every engine, so the common start of these texts is hashed only once.
	const state = hashStateOf(`${cacheScope}|${block.id}|`);
	const owners: EndpointRecord[] = [];
	const hashes: number[] = [];
	for (const endpoint of endpoints) {
		const hash = finishHash(extendHash(state, endpoint.name));
		if (hashes.length === count && hash <= (hashes[count - 1] ?? 0)) {
			continue;
		}

		let position = hashes.length;
		while (position > 0 && hash > hashes[position - 1]!) {
			position--;
		}

		owners.splice(position, 0, endpoint);
		hashes.splice(position, 0, hash);
		owners.length = Math.min(owners.length, count);
		hashes.length = owners.length;
	}

	return owners;
}
