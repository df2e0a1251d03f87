/**
 * Estimates which prompt blocks an engine has cached, from what this instance sent there. The estimate is bounded like
 * the engine's memory and evicts in the same order. It is only a hint: a wrong estimate costs one prefill.
 */
import {type PromptBlock} from '../../shared/prompt-shape.js';

export class BelievedParts {
	readonly #capacityTokens: number;
	readonly #parts = new Map<string, {tokens: number; at: number}>();
	#tokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/** Adds the blocks of a prompt that was sent to the engine; `now` is in milliseconds of the steady clock. */
	learn(scope: string, parts: readonly PromptBlock[], now: number): void {
		for (const {id, tokens} of parts) {
			const key = `${scope}|${id}`;
			this.#tokens += tokens - (this.#parts.get(key)?.tokens ?? 0);
			this.#parts.delete(key);
			this.#parts.set(key, {tokens, at: now});
		}

		for (const [key, {tokens}] of this.#parts) {
			if (this.#tokens <= this.#capacityTokens) {
				break;
			}

			this.#parts.delete(key);
			this.#tokens -= tokens;
		}
	}

	/**
	 * Tokens of a block that the engine has probably cached, if the block was sent there at `since` or later; 0
	 * otherwise.
	 */
	tokensOf(scope: string, {id}: PromptBlock, since: number): number {
		const part = this.#parts.get(`${scope}|${id}`);
		return part === undefined || part.at < since ? 0 : part.tokens;
	}
}
