/** Seeded randomness for workloads. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A number from 0 up to, and without, 1. */
	fraction(): number {
		return uniformFloat64(this.#generator);
	}

	/** A number between two bounds. */
	between([low, high]: readonly [number, number]): number {
		return low + (this.fraction() * (high - low));
	}

	/** A whole number from 0 up to, and without, `count`. */
	index(count: number): number {
		return Math.floor(this.fraction() * count);
	}

	/** A time to the next event of a Poisson process with this mean. */
	wait(mean: number): number {
		return -Math.log(1 - this.fraction()) * mean;
	}
}
