/**
 * Learns how many prompt tokens the engines of a service read in a millisecond.
 *
 * Load it answers: engines of other make than the last ones. With a speed that is half of the true one, callers are
 * refused at engines that would answer them in time, and short waits look longer than reading a part anew elsewhere; with
 * twice the true one, prompts are sent to engines where they come too late.
 *
 * The delay of the first token grows with the tokens read for it. The slope of that line is taken over the prompts that
 * were alone in the reading when they were sent; what else delays a first token moves the line, not its slope.
 */

/** Before anything is measured: the lower end of what current engines state, so that no engine is swamped at first. */
const firstGuess = 55;
/** Outside these bounds a slope says more of the noise than of the engines. */
const slowest = 20;
const fastest = 500;
/** Each sample takes this part of the weight of all older ones; about 400 count. */
const keptWeight = 0.9975;
/** The first guess counts as much as this many samples, spread over short and long prompts. */
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
	 * Takes one prompt.
	 *
	 * @param tokens - Read for it by the engine.
	 * @param milliseconds - From its sending to its first token.
	 */
	observe(tokens: number, milliseconds: number): void {
		this.#weight = (keptWeight * this.#weight) + 1;
		this.#tokens = (keptWeight * this.#tokens) + tokens;
		this.#milliseconds = (keptWeight * this.#milliseconds) + milliseconds;
		this.#tokensSquared = (keptWeight * this.#tokensSquared) + (tokens ** 2);
		this.#product = (keptWeight * this.#product) + (tokens * milliseconds);
	}

	/** The speed by what was measured so far. */
	get tokensPerMillisecond(): number {
		const spread = this.#tokensSquared - ((this.#tokens ** 2) / this.#weight);
		const together = this.#product - (this.#tokens * this.#milliseconds / this.#weight);
		if (spread <= 0 || together <= 0) {
			return firstGuess;
		}

		return Math.min(fastest, Math.max(slowest, spread / together));
	}
}
