/** Decides which cached blocks are saved to the memory and disk tiers of the stores, and which are not worth the link. */

/** A prompt whose first token has come: its blocks are in the endpoint's accelerator memory now. */
export type PrefilledPrompt = {
	workspace: string;
	endpoint: string;
	pieceKeys: readonly string[];
	/** Leading blocks that did not have to be recomputed. */
	reusedBlocks: number;
};

/** A save that the policy asks for. */
export type SaveAction = {kind: 'save'; endpoint: string; store: string; pieceKeys: readonly string[]};

/** Decides what is saved. */
export interface SavePolicy {
	/**
	 * Called when a prompt was prefilled. Its blocks are saved from then on and not at its end, which may be a minute
	 * later.
	 */
	prefilled(prompt: PrefilledPrompt, now: number): SaveAction[];
}
