/**
 * The random choices of one fault run: which faults occur and how long operations take. A run depends on its choices
 * alone, so a failing run can be replayed exactly. It is shrunk by replacing choices with 0, which always means "no fault"
 * and "the shortest time".
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const choiceRange = 10_000;

export class Choices {
	/** Creates new choices from a seed. */
	static fromSeed(seed: number): Choices {
		const generator = xoroshiro128plus(seed);
		return new Choices(() => uniformInt(generator, 0, choiceRange - 1));
	}

	/** Replays recorded choices; after their end every choice is 0. */
	static replay(choices: readonly number[]): Choices {
		return new Choices(index => choices[index] ?? 0);
	}

	readonly #made: number[] = [];
	readonly #next: (index: number) => number;

	private constructor(next: (index: number) => number) {
		this.#next = next;
	}

	/** All choices made so far. */
	get made(): readonly number[] {
		return this.#made;
	}

	/** Returns true with a probability in percent. */
	chance(percent: number): boolean {
		return this.#draw() >= choiceRange * (1 - (percent / 100));
	}

	/** Returns an integer from `minimum` up to and including `maximum`. */
	between(minimum: number, maximum: number): number {
		return minimum + Math.floor(this.#draw() * (maximum - minimum + 1) / choiceRange);
	}

	/** Returns one of the values; the first must be the one without a fault. */
	oneOf<Value>(values: readonly Value[]): Value {
		return values[this.between(0, values.length - 1)]!;
	}

	#draw(): number {
		const choice = this.#next(this.#made.length);
		this.#made.push(choice);
		return choice;
	}
}
