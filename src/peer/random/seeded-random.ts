import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * Makes a generator of random numbers.
 *
 * @param seed - A whole number; the same one gives the same numbers.
 * @returns A function that gives numbers from 0 up to 1.
 */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
