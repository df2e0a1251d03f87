import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a seeded generator of random numbers.
 *
 * @param seed - An integer; the same seed gives the same sequence.
 * @returns A function that returns numbers from 0 up to 1.
 */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
