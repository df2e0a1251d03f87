/**
 * Which stores and engines have which blocks cached, as the coordinator collects it, and the answers about the blocks of one
 * prompt.
 *
 * With many engines, publishing every block that any engine computes or drops to each instance takes more bandwidth than the
 * links of the instances have. An answer to a query is bounded: by the blocks of one prompt, the queried engines, and a few
 * more that hold its deepest blocks.
 */
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {
	engineHolder, type CachedBlocks, type BlocksAnswer, type PlacementQuery,
} from './coordinator-messages.js';

/** How many engines an answer names beside the queried ones, for the blocks that they hold. */
const maxExtraEngines = 8;
/** A block with more holders than this adds no further engines to an answer: some of the queried ones hold it as well. */
const commonBlockHolders = 24;

/** What the directory has to know about holders. */
export type HolderStates = {
	/** Stores whose blocks may be offered. */
	stores: readonly string[];
	/** Whether the known blocks of an engine are up to date. */
	isUpToDate: (engine: string) => boolean;
	/** Requests in flight at an engine. */
	requestsAt: (engine: string) => number;
};

const enginePrefix = engineHolder('');

/** The holders of one block, with its tokens. */
type BlockHolders = ReadonlyMap<string, number>;

export class BlockDirectory {
	readonly #holders = new Map<string, Map<string, number>>();

	/** Applies the changes of what a holder has cached. */
	apply(holder: string, {added, removed}: BlockChanges): void {
		for (const key of removed) {
			const holders = this.#holders.get(key);
			if (holders?.delete(holder) && holders.size === 0) {
				this.#holders.delete(key);
			}
		}

		for (const [key, tokens] of added) {
			const holders = this.#holders.get(key) ?? new Map<string, number>();
			this.#holders.set(key, holders);
			holders.set(holder, tokens);
		}
	}

	/** Answers a query about the blocks of one prompt. */
	answer({endpoints, keys, partCount: blockCount}: PlacementQuery, {stores, isUpToDate, requestsAt}: HolderStates): BlocksAnswer {
		if (keys.length === 0) {
			return {kept: [], engines: [], unknown: []};
		}

		const found = keys.map(key => this.#holders.get(key));
		const engines = [...new Set([...endpoints, ...enginesWithDeepestBlocks(found, blockCount, requestsAt)])];
		const holders = [...stores, ...engines.map(engine => engineHolder(engine))];
		return {
			kept: holders.map((holder): [string, CachedBlocks] => [holder, cachedAt(holder, found)]).filter(([, blocks]) => blocks.length > 0),
			engines,
			unknown: engines.filter(engine => !isUpToDate(engine)),
		};
	}
}

/** The blocks of a query that a holder has cached. */
function cachedAt(holder: string, found: ReadonlyArray<BlockHolders | undefined>): CachedBlocks {
	const blocks: CachedBlocks = [];
	for (const [index, holders] of found.entries()) {
		const tokens = holders?.get(holder);
		if (tokens !== undefined) {
			blocks.push([index, tokens]);
		}
	}

	return blocks;
}

/** Engines that hold the deepest blocks, those with the fewest requests first. */
function enginesWithDeepestBlocks(found: ReadonlyArray<BlockHolders | undefined>, blockCount: number, requestsAt: (engine: string) => number): Set<string> {
	const engines = new Set<string>();
	for (let depth = blockCount - 1; depth >= 0 && engines.size < maxExtraEngines; depth--) {
		const holding = enginesAmong(found.filter((_holders, index) => index % blockCount === depth))
			.map(engine => ({engine, requests: requestsAt(engine)}))
			.toSorted((one, other) => one.requests - other.requests);
		for (const {engine} of holding.slice(0, maxExtraEngines - engines.size)) {
			engines.add(engine);
		}
	}

	return engines;
}

function enginesAmong(found: ReadonlyArray<BlockHolders | undefined>): string[] {
	const engines: string[] = [];
	for (const holders of found) {
		if (holders !== undefined && holders.size <= commonBlockHolders) {
			for (const holder of holders.keys()) {
				if (holder.startsWith(enginePrefix)) {
					engines.push(holder.slice(enginePrefix.length));
				}
			}
		}
	}

	return engines;
}
