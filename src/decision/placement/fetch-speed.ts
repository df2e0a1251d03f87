/**
 * How fast an engine fetches prompt parts that others keep.
 *
 * Load it answers: engines of other make, whose tokens take more or less memory and whose links are wider or narrower. With
 * a speed that is too high, long parts are fetched over links that are already full, and their callers wait behind each
 * other; with one that is too low, parts are read again that would have been there sooner.
 */
import {type EngineTraits} from '../../shared/routed-configuration.js';

/** A fetch gets this part of the link's rate; the rest goes to waits between transfers. */
const linkShare = 0.9;
/** A fetch from another data centre takes so many times as long. */
const farFactor = 2;
/** Where nothing is declared: a link of 100 Gbit/s at 20 KB a token. */
const undeclaredTokensPerMillisecond = 400;

/** One Mbit/s in bytes a millisecond. */
const bytesPerMegabit = 125;

/**
 * Tokens that an engine fetches in a millisecond, by what is declared of its link and its memory.
 *
 * @param engine - What is declared.
 * @param isNear - Whether the source lies in the engine's own data centre.
 */
export function fetchTokensPerMillisecond(engine: EngineTraits | undefined, isNear: boolean): number {
	const nearSpeed = engine === undefined || engine.bytesPerToken <= 0 || engine.linkMegabitsPerSecond <= 0
		? undeclaredTokensPerMillisecond
		: linkShare * engine.linkMegabitsPerSecond * bytesPerMegabit / engine.bytesPerToken;
	return isNear ? nearSpeed : nearSpeed / farFactor;
}
