/**
 * Estimates how long an engine takes to fetch a prompt block from a cache store or another engine.
 *
 * The slower of the two links limits a transfer, and stores and engines differ in their links by up to a factor of ten. Without
 * the link of the source, blocks are fetched from slow stores as if they came at the engine's own rate: transfers queue up, and
 * their prompts hold slots of the engine meanwhile.
 */
import {type EngineTraits} from '../../shared/routed-configuration.js';

/** A store or an engine that a block can be fetched from. */
export type TransferSource = {
	/** `IP:port`. */
	address: string;
	/** The store's service; absent for an engine. */
	store?: string;
	dataCentre: string;
	/** 0 where it is not declared. */
	linkMegabitsPerSecond: number;
	/** The fixed time added to each transfer. */
	latencyMilliseconds: number;
};

/** The engine that fetches. */
export type TransferTarget = {
	dataCentre: string;
	traits: EngineTraits | undefined;
};

/** A transfer gets this share of the link's rate; the rest is lost to gaps between transfers. */
const linkShare = 0.9;
/** A transfer between data centres takes this many times as long. */
const otherDataCentreFactor = 2;
/** Speed where nothing is declared: a link of 100 Gbit/s at 20 KB a token. */
const undeclaredTokensPerMillisecond = 400;
/** One Mbit/s in bytes a millisecond. */
const bytesPerMegabit = 125;

/**
 * Returns the milliseconds that a transfer takes while no others use the same links.
 *
 * @param tokens - Tokens of the block.
 * @param source - Where it is fetched from.
 * @param target - The engine that fetches it.
 * @example
 * transferMilliseconds(9000, {address: '10.0.0.1:80', dataCentre: 'split', linkMegabitsPerSecond: 65_000, latencyMilliseconds: 1}, target) // 23.7
 */
export function transferMilliseconds(tokens: number, source: TransferSource, {dataCentre, traits}: TransferTarget): number {
	const tokensPerMillisecond = nearTokensPerMillisecond(source, traits) / (source.dataCentre === dataCentre ? 1 : otherDataCentreFactor);
	return source.latencyMilliseconds + (tokens / tokensPerMillisecond);
}

/** Speed within a data centre. */
function nearTokensPerMillisecond({linkMegabitsPerSecond}: TransferSource, traits: EngineTraits | undefined): number {
	const links = [linkMegabitsPerSecond, traits?.linkMegabitsPerSecond ?? 0].filter(link => link > 0);
	const bytesPerToken = traits?.bytesPerToken ?? 0;
	return links.length === 0 || bytesPerToken <= 0
		? undeclaredTokensPerMillisecond
		: linkShare * Math.min(...links) * bytesPerMegabit / bytesPerToken;
}
