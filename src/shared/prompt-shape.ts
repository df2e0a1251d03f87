/** A prompt as routing and caching see it: a model, a size, and parts that it shares with other prompts. */

/** One part of a prompt; engines cache parts. */
export type PromptPart = {
	id: string;
	tokens: number;
};

/** The prompt of a request. */
export type PromptShape = {
	model: string;
	promptTokens: number;
	mostOutputTokens: number;
	/** In order; the last one belongs to this request alone. */
	parts: readonly PromptPart[];
};
