/**
 * The choices of one fault run: which fault comes, and how long things take. A run is a function of its choices alone, so
 * a failing run is repeated exactly, and made smaller by replacing choices by 0, which always stands for "no fault" and
 * "the shortest time".
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const choiceRange = 10_000;

export class Choices {
	/** Fresh choices from a seed. */
	static fromSeed(seed: number): Choices {
		const generator = xoroshiro128plus(seed);
		return new Choices(() => uniformInt(generator, 0, choiceRange - 1));
	}

	/** Choices that were taken before; behind their end everything is 0. */
	static replay(choices: readonly number[]): Choices {
		return new Choices(index => choices[index] ?? 0);
	}

	readonly #taken: number[] = [];
	readonly #next: (index: number) => number;

	private constructor(next: (index: number) => number) {
		this.#next = next;
	}

	/** All choices taken so far. */
	get taken(): readonly number[] {
		return this.#taken;
	}

	/** True with a probability in percent. */
	chance(percent: number): boolean {
		return this.#draw() >= choiceRange * (1 - (percent / 100));
	}

	/** A whole number from `least` up to and including `most`. */
	between(least: number, most: number): number {
		return least + Math.floor(this.#draw() * (most - least + 1) / choiceRange);
	}

	/** One of the values; the first is the one without a fault. */
	oneOf<Value>(values: readonly Value[]): Value {
		return values[this.between(0, values.length - 1)]!;
	}

	#draw(): number {
		const choice = this.#next(this.#taken.length);
		this.#taken.push(choice);
		return choice;
	}
}
