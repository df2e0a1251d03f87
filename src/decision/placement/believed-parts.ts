/**
 * Which prompt parts this instance believes an engine to keep, from what it sent there itself. Bounded as the engine's
 * memory is, and given up in the same order. A hint: a wrong one costs one prefill.
 */
import {type PromptPart} from '../../shared/prompt-shape.js';

export class BelievedParts {
	readonly #capacityTokens: number;
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/** Takes the parts of a prompt that the engine has read. */
	learn(scope: string, parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			const key = `${scope}|${id}`;
			this.#tokens += tokens - (this.#parts.get(key) ?? 0);
			this.#parts.delete(key);
			this.#parts.set(key, tokens);
		}

		for (const [key, tokens] of this.#parts) {
			if (this.#tokens <= this.#capacityTokens) {
				break;
			}

			this.#parts.delete(key);
			this.#tokens -= tokens;
		}
	}

	/** Tokens of the leading parts that the engine is believed to keep. */
	leadingTokens(scope: string, parts: readonly PromptPart[]): number {
		let sum = 0;
		for (const {id} of parts) {
			const tokens = this.#parts.get(`${scope}|${id}`);
			if (tokens === undefined) {
				break;
			}

			sum += tokens;
		}

		return sum;
	}
}
