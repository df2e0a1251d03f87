/**
 * What a request that can wait costs on average, from the answers of late: prefill, and room in accelerator memory.
 *
 * Load it answers: a queue of prompts of which nobody knows how much is kept. Taken for small, a few of them put a
 * minute of prefill before each engine; taken whole, engines run dry while kept prefixes wait.
 */
import {type PriorityClass} from '../../shared/types.js';

/** Before the first answer: two pieces. */
const firstTokens = 4096;
const weight = 0.1;

export class RequestAverage {
	#prefilled = firstTokens;
	#prompt = firstTokens;

	/** Prompt tokens that had to be prefilled. */
	get prefilledTokens(): number {
		return this.#prefilled;
	}

	/** Prompt tokens, kept or not. */
	get promptTokens(): number {
		return this.#prompt;
	}

	/** Takes an answer. Urgent prompts do not wait for places, so they do not count. */
	observe(priority: PriorityClass, promptTokens: number, cachedTokens: number): void {
		if (priority !== 'urgent') {
			this.#prefilled += weight * (promptTokens - cachedTokens - this.#prefilled);
			this.#prompt += weight * (promptTokens - this.#prompt);
		}
	}
}
