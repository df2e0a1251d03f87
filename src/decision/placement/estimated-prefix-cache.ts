/**
 * Estimates which prompt blocks an engine has cached, from what this instance sent there. The estimate is bounded like
 * the engine's memory and evicts in the same order. It is only a hint: a wrong estimate costs one prefill.
 */
import {type PromptBlock} from '../../shared/prompt-shape.js';

export class EstimatedPrefixCache {
	readonly #capacityTokens: number;
	readonly #blocks = new Map<string, {tokens: number; at: number}>();
	#tokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/** Adds the blocks of a prompt that was sent to the engine; `now` is in milliseconds of the steady clock. */
	add(scope: string, blocks: readonly PromptBlock[], now: number): void {
		for (const {id, tokens} of blocks) {
			const key = `${scope}|${id}`;
			this.#tokens += tokens - (this.#blocks.get(key)?.tokens ?? 0);
			this.#blocks.delete(key);
			this.#blocks.set(key, {tokens, at: now});
		}

		for (const [key, {tokens}] of this.#blocks) {
			if (this.#tokens <= this.#capacityTokens) {
				break;
			}

			this.#blocks.delete(key);
			this.#tokens -= tokens;
		}
	}

	/**
	 * Tokens of a block that the engine has probably cached, if the block was sent there at `since` or later; 0
	 * otherwise.
	 */
	cachedTokens(scope: string, {id}: PromptBlock, since: number): number {
		const block = this.#blocks.get(`${scope}|${id}`);
		return block === undefined || block.at < since ? 0 : block.tokens;
	}
}
