/** What is moved to the memory and disk tiers of the stores, and what is not worth the link. */

/** A prompt whose first token came: its pieces are in the endpoint's accelerator memory now. */
export type PrefilledPrompt = {
	workspace: string;
	endpoint: string;
	pieceKeys: readonly string[];
	/** Leading pieces that did not have to be recomputed. */
	reusedPieces: number;
};

/** An order that follows. */
export type KeepingAction = {kind: 'save'; endpoint: string; store: string; pieceKeys: readonly string[]};

/** Decides what is kept. */
export interface KeepingPolicy {
	/** A prompt was prefilled. Its pieces are kept from then on and not from its end, which may be a minute later. */
	prefilled(prompt: PrefilledPrompt, now: number): KeepingAction[];
}
