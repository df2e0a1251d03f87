/** The properties of a prompt that routing and caching use: its model, its size, and its blocks, which prompts may share. */

/** One block of a prompt, the unit that engines cache. */
export type PromptBlock = {
	id: string;
	tokens: number;
};

/** The prompt of a request. */
export type PromptShape = {
	model: string;
	promptTokens: number;
	maxOutputTokens: number;
	/** In order; the last block belongs to this request only. */
	blocks: readonly PromptBlock[];
};

/**
 * Lists the ids of the blocks that other prompts may share: all but the last one.
 *
 * @param prompt - The prompt; `undefined` for a request without one, which has no blocks.
 */
export function sharedBlocksOf(prompt: PromptShape | undefined): string[] {
	return prompt?.blocks.slice(0, -1).map(({id}) => id) ?? [];
}
