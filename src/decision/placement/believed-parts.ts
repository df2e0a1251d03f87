/**
 * Which prompt parts this instance believes an engine to keep, from what it sent there itself. Bounded as the engine's
 * memory is, and given up in the same order. A hint: a wrong one costs one prefill.
 */
import {type PromptPart} from '../../shared/prompt-shape.js';

export class BelievedParts {
	readonly #capacityTokens: number;
	readonly #parts = new Map<string, {tokens: number; at: number}>();
	#tokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/** Takes the parts of a prompt that the engine was sent, at a time of the steady clock in milliseconds. */
	learn(scope: string, parts: readonly PromptPart[], now: number): void {
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

	/** Tokens of a part that the engine is believed to keep, if it was sent there at `since` or later. */
	tokensOf(scope: string, {id}: PromptPart, since: number): number {
		const part = this.#parts.get(`${scope}|${id}`);
		return part === undefined || part.at < since ? 0 : part.tokens;
	}
}
