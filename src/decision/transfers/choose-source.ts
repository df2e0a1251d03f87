/**
 * Chooses where an engine fetches a prompt block from: the source with the shortest transfer.
 *
 * What engines have cached is a hint, unlike the blocks of stores: a block that was evicted meanwhile is prefilled. So an engine
 * is preferred to a store only if it saves more than that costs on average.
 */
import {hashOf} from '../../shared/hash-of.js';
import {transferMilliseconds, type TransferSource, type TransferTarget} from './transfer-time.js';

/** A source, how long the transfer from it takes, and how long the block takes on average if some fetches find it evicted. */
export type ChosenSource = {source: TransferSource; milliseconds: number; meanMilliseconds: number};

/**
 * Assumed share of the fetches from engines that find the block evicted. With a tenth, engines were preferred to slow stores, and
 * two thirds more tokens of shared blocks were prefilled again.
 */
const missShare = 0.5;

/**
 * Orders the sources of a block by the time that it takes on average from each, the shortest first.
 *
 * @param tokens - Tokens of the block.
 * @param prefillMilliseconds - How long an engine takes to prefill it.
 */
export function orderSources(sources: readonly TransferSource[], target: TransferTarget, tokens: number, prefillMilliseconds: number): ChosenSource[] {
	return sources
		.map(source => {
			const milliseconds = transferMilliseconds(tokens, source, target);
			return {source, milliseconds, meanMilliseconds: milliseconds + (source.store === undefined ? missShare * prefillMilliseconds : 0)};
		})
		.toSorted((one, other) => one.meanMilliseconds - other.meanMilliseconds);
}

/**
 * Chooses one of the ordered sources. A hash spreads the transfers where several are equally near.
 *
 * @param ordered - As `orderSources` returns them.
 * @param targetAddress - `IP:port` of the engine, which does not fetch from itself.
 * @param spreadBy - What the hash is taken of.
 */
export function chooseSource(ordered: readonly ChosenSource[], targetAddress: string, spreadBy: string): ChosenSource | undefined {
	const first = ordered.find(({source}) => source.address !== targetAddress);
	const equal = ordered.filter(({source, meanMilliseconds}) => meanMilliseconds === first?.meanMilliseconds && source.address !== targetAddress);
	return equal[hashOf(spreadBy) % Math.max(1, equal.length)];
}
