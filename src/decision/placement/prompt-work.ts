/**
 * What an engine has to do for a prompt: parts that it keeps are used as they are, shared parts that others keep are
 * fetched, and all behind the first part of neither kind is read. Engines find a part only if all parts before it are at
 * hand, so the parts count from the prompt's start.
 */
import {type PromptShape} from '../../shared/prompt-shape.js';

/** Where the parts of a prompt are, by their index in the prompt. */
export type PartSources = {
	/** Tokens of a part that the engine keeps. */
	keptTokens(index: number): number;
	/** Whether a store or another engine keeps the whole part. */
	isFetchable(index: number): boolean;
};

/** Tokens by what the engine does for them; together they are the prompt. */
export type PromptWork = {
	keptTokens: number;
	fetchTokens: number;
	readTokens: number;
};

/**
 * Works out what an engine does for a prompt.
 *
 * @param prompt - The prompt; its last part is its own and is never fetched.
 * @param sources - Where its parts are.
 */
export function promptWork({parts, promptTokens}: PromptShape, sources: PartSources): PromptWork {
	let keptTokens = 0;
	let fetchTokens = 0;
	for (const [index, {tokens}] of parts.entries()) {
		const kept = Math.min(tokens, sources.keptTokens(index));
		if (kept < tokens && index < parts.length - 1 && sources.isFetchable(index)) {
			fetchTokens += tokens;
			continue;
		}

		keptTokens += kept;
		if (kept < tokens) {
			break;
		}
	}

	return {keptTokens, fetchTokens, readTokens: Math.max(0, promptTokens - keptTokens - fetchTokens)};
}
