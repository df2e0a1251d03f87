/**
 * How fast an engine fetches prompt parts that others keep.
 *
 * Load it answers: engines of other make, whose tokens take more or less memory and whose links are wider or narrower. With
 * a speed that is too high, long parts are fetched over links that are already full, and their callers wait behind each
 * other; with one that is too low, parts are read again that would have been there sooner.
 */
import {type EngineTraits} from '../../shared/routed-configuration.js';

/** A fetch gets this part of the link's rate: two of three sources lie in another data centre, where it takes twice as long. */
const linkShare = 0.6;
/** Where nothing is declared: a link of 100 Gbit/s at 20 KB a token. */
const undeclaredTokensPerMillisecond = 400;

/** One Mbit/s in bytes a millisecond. */
const bytesPerMegabit = 125;

/** Tokens that an engine fetches in a millisecond, by what is declared of its link and its memory. */
export function fetchTokensPerMillisecond(engine: EngineTraits | undefined): number {
	if (engine === undefined || engine.bytesPerToken <= 0 || engine.linkMegabitsPerSecond <= 0) {
		return undeclaredTokensPerMillisecond;
	}

	return linkShare * engine.linkMegabitsPerSecond * bytesPerMegabit / engine.bytesPerToken;
}
