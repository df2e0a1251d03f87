/**
 * Learns how many prompt tokens the engines of a service prefill in a millisecond.
 *
 * Engines differ between deployments. At half of the true speed, callers are refused at engines that would answer them in
 * time, and short waits look longer than a second prefill elsewhere; at twice the true speed, prompts are sent to engines
 * where they are late.
 *
 * The delay of the first token grows linearly with the tokens prefilled for it. The slope is fitted over prompts that had
 * no prefill ahead of them when they were sent; anything else that delays a first token shifts the line but not its
 * slope.
 */

/** Used before the first sample: the lower end of what current engines state, so that no engine is overloaded at first. */
const firstGuess = 55;
/** A slope outside these bounds reflects noise rather than the engines. */
const slowest = 20;
const fastest = 500;
/** Each sample multiplies the weight of all older ones by this; about 400 samples count. */
const keptWeight = 0.9975;
/** The initial speed counts as much as this many samples, spread over short and long prompts. */
const guessSamples = 8;
const guessTokens = [500, 10_000];

export class ReadingSpeed {
	#weight = 0;
	#tokens = 0;
	#milliseconds = 0;
	#tokensSquared = 0;
	#product = 0;

	constructor() {
		for (const tokens of guessTokens) {
			for (let sample = 0; sample < guessSamples / guessTokens.length; sample++) {
				this.observe(tokens, tokens / firstGuess);
			}
		}
	}

	/**
	 * Adds the sample of one prompt.
	 *
	 * @param tokens - Tokens that the engine prefilled for it.
	 * @param milliseconds - From its sending to its first token.
	 */
	observe(tokens: number, milliseconds: number): void {
		this.#weight = (keptWeight * this.#weight) + 1;
		this.#tokens = (keptWeight * this.#tokens) + tokens;
		this.#milliseconds = (keptWeight * this.#milliseconds) + milliseconds;
		this.#tokensSquared = (keptWeight * this.#tokensSquared) + (tokens ** 2);
		this.#product = (keptWeight * this.#product) + (tokens * milliseconds);
	}

	/** The speed estimated from all samples so far. */
	get tokensPerMillisecond(): number {
		const spread = this.#tokensSquared - ((this.#tokens ** 2) / this.#weight);
		const together = this.#product - (this.#tokens * this.#milliseconds / this.#weight);
		if (spread <= 0 || together <= 0) {
			return firstGuess;
		}

		return Math.min(fastest, Math.max(slowest, spread / together));
	}
}
