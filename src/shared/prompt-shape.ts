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
