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
const initialTokensPerMillisecond = 55;
/** A slope outside these bounds reflects noise rather than the engines. */
const minTokensPerMillisecond = 20;
const maxTokensPerMillisecond = 500;
/** Each sample multiplies the weight of all older ones by this; about 400 samples count. */
const sampleDecay = 0.9975;
/** The initial speed counts as much as this many samples, spread over short and long prompts. */
const initialSamples = 8;
const initialSampleTokens = [500, 10_000];

export class PrefillSpeed {
	#weight = 0;
	#tokens = 0;
	#milliseconds = 0;
	#tokensSquared = 0;
	#product = 0;

	constructor() {
		for (const tokens of initialSampleTokens) {
			for (let sample = 0; sample < initialSamples / initialSampleTokens.length; sample++) {
				this.observe(tokens, tokens / initialTokensPerMillisecond);
			}
		}
	}

	/**
	 * Adds the sample of one prompt.
	 *
	 * @param tokens - Tokens that the engine prefilled for it.
	 * @param elapsedMilliseconds - From its sending to its first token.
	 * @param paceFactor - How much longer than usual work took there meanwhile; the speed is that at the usual pace.
	 */
	observe(tokens: number, elapsedMilliseconds: number, paceFactor = 1): void {
		const milliseconds = elapsedMilliseconds / paceFactor;
		this.#weight = (sampleDecay * this.#weight) + 1;
		this.#tokens = (sampleDecay * this.#tokens) + tokens;
		this.#milliseconds = (sampleDecay * this.#milliseconds) + milliseconds;
		this.#tokensSquared = (sampleDecay * this.#tokensSquared) + (tokens ** 2);
		this.#product = (sampleDecay * this.#product) + (tokens * milliseconds);
	}

	/** The speed estimated from all samples so far. */
	get tokensPerMillisecond(): number {
		const variance = this.#tokensSquared - ((this.#tokens ** 2) / this.#weight);
		const covariance = this.#product - (this.#tokens * this.#milliseconds / this.#weight);
		if (variance <= 0 || covariance <= 0) {
			return initialTokensPerMillisecond;
		}

		return Math.min(maxTokensPerMillisecond, Math.max(minTokensPerMillisecond, variance / covariance));
	}
}
