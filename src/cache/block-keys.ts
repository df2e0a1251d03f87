/**
 * Keys of cache blocks. A key is a keyed digest of the workspace, the model, the weight version and the whole prompt up to the
 * end of the block. So a block cannot be looked up by content alone, a workspace cannot find another's blocks, and a block
 * computed under another weight version has another key.
 */
import {createHmac} from 'node:crypto';

/** Characters of a prompt per block: about 2,048 tokens at 4 characters per token. */
export const blockCharacters = 8192;

/** Estimated characters per token; only the engine knows the exact number. */
export const charactersPerToken = 4;

/** What the keys of a prompt's blocks depend on, besides the prompt. */
export type BlockScope = {
	/** The workspace's salt; see `cacheSaltOf`. */
	salt: string;
	model: string;
	weightVersion: string;
};

/**
 * Returns the cache salt of a workspace.
 *
 * @param secret - The secret that all instances share.
 * @param workspace - The workspace's name.
 * @returns 64 hexadecimal digits.
 */
export function cacheSaltOf(secret: string, workspace: string): string {
	return createHmac('sha256', secret).update(`workspace:${workspace}`).digest('hex');
}

/**
 * Returns the keys of the complete blocks of a prompt, in order.
 *
 * @param scope - The salt, model and weight version.
 * @param prompt - The whole prompt as one text.
 * @returns A key per complete block, which depends on all blocks before it. An incomplete last block has no key.
 */
export function promptBlockKeysOf(scope: BlockScope, prompt: string): string[] {
	const blockCount = Math.floor(prompt.length / blockCharacters);
	const keys: string[] = [];
	let previous = `${scope.model}|${scope.weightVersion}`;
	for (let index = 0; index < blockCount; index++) {
		const text = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters);
		previous = createHmac('sha256', scope.salt).update(previous).update('|').update(text).digest('hex');
		keys.push(previous);
	}

	return keys;
}
