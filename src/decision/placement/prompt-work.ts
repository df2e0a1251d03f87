/**
 * Divides a prompt by what an engine has to do for it. Blocks that it has cached are reused, shared blocks that are
 * cached elsewhere are fetched, and everything after the first block that is neither is prefilled. Engines match a cached
 * block only if all blocks before it are present, so blocks count from the prompt's start.
 */
import {type PromptShape} from '../../shared/prompt-shape.js';

/** Where the blocks of a prompt are cached, by their index in the prompt. */
export type BlockSources = {
	/** Tokens of a block that the engine has cached. */
	cachedTokens(index: number): number;
	/** Milliseconds that the engine would take to fetch the block from a store or another engine; `undefined` if it is not fetched. */
	fetchMilliseconds(index: number): number | undefined;
};

/** Tokens by what the engine does for them; their sum is the prompt. */
export type PromptWork = {
	/** Cached at the engine. */
	keptTokens: number;
	fetchTokens: number;
	/** How long the fetches take. */
	fetchMilliseconds: number;
	/** To be prefilled. */
	readTokens: number;
};

/**
 * Computes what an engine has to do for a prompt.
 *
 * @param prompt - Its last block is its own and is never fetched.
 * @param sources - Where its blocks are cached.
 */
export function promptWork({blocks, promptTokens}: PromptShape, sources: BlockSources): PromptWork {
	let keptTokens = 0;
	let fetchTokens = 0;
	let fetchMilliseconds = 0;
	for (const [index, {tokens}] of blocks.entries()) {
		const cached = Math.min(tokens, sources.cachedTokens(index));
		const milliseconds = cached < tokens && index < blocks.length - 1 ? sources.fetchMilliseconds(index) : undefined;
		if (milliseconds !== undefined) {
			fetchTokens += tokens;
			fetchMilliseconds += milliseconds;
			continue;
		}

		keptTokens += cached;
		if (cached < tokens) {
			break;
		}
	}

	return {
		keptTokens, fetchTokens, fetchMilliseconds, readTokens: Math.max(0, promptTokens - keptTokens - fetchTokens),
	};
}
