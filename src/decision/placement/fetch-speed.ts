/**
 * Estimates how fast an engine fetches prompt blocks that a store or another engine has cached.
 *
 * Engines differ in memory per token and in the rate of their links. With too high an estimate, long blocks are fetched
 * over links that are already full, and their callers queue up; with too low an estimate, blocks are prefilled again
 * although a fetch would be faster.
 */
import {type EngineTraits} from '../../shared/routed-configuration.js';

/** A fetch gets this share of the link's rate; the rest is lost to gaps between transfers. */
const linkShare = 0.9;
/** A fetch from another data centre takes this many times as long. */
const otherDataCentreFactor = 2;
/** Speed where nothing is declared: a link of 100 Gbit/s at 20 KB a token. */
const undeclaredTokensPerMillisecond = 400;

/** One Mbit/s in bytes a millisecond. */
const bytesPerMegabit = 125;

/**
 * Tokens that an engine fetches in a millisecond, from its declared link rate and memory per token.
 *
 * @param engine - What is declared of it.
 * @param isNear - Whether the source is in the engine's own data centre.
 */
export function fetchTokensPerMillisecond(engine: EngineTraits | undefined, isNear: boolean): number {
	const nearSpeed = engine === undefined || engine.bytesPerToken <= 0 || engine.linkMegabitsPerSecond <= 0
		? undeclaredTokensPerMillisecond
		: linkShare * engine.linkMegabitsPerSecond * bytesPerMegabit / engine.bytesPerToken;
	return isNear ? nearSpeed : nearSpeed / otherDataCentreFactor;
}
