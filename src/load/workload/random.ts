/** Seeded random numbers for workloads. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniform number from 0 to 1, 1 excluded. */
	fraction(): number {
		return uniformFloat64(this.#generator);
	}

	/** Returns a uniform number between two bounds. */
	between([low, high]: readonly [number, number]): number {
		return low + (this.fraction() * (high - low));
	}

	/** Returns a whole number from 0 to `count`, `count` excluded. */
	index(count: number): number {
		return Math.floor(this.fraction() * count);
	}

	/** Returns the time to the next event of a Poisson process: exponentially distributed, in the unit of the mean. */
	exponential(mean: number): number {
		return -Math.log(1 - this.fraction()) * mean;
	}
}
