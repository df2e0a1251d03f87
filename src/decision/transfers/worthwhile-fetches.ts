/** Decides which blocks of a prompt an engine should fetch. */

/** A shared block of a prompt at an engine. */
export type FetchableBlock = {
	isCached: boolean;
	/** How long the engine would take to fetch it; `undefined` where no store or other engine has it. */
	fetchMilliseconds: number | undefined;
	prefillMilliseconds: number;
};

/**
 * Returns how many blocks from the start an engine should fetch where it does not have them cached any more.
 *
 * Engines match a cached block only if all blocks before it are present. So a short block whose fetch takes longer than its prefill
 * is fetched nevertheless if a long one follows; blocks whose fetches take longer together than their prefill are not.
 *
 * @example
 * worthwhileFetches([{isCached: false, fetchMilliseconds: 6, prefillMilliseconds: 5}, {isCached: false, fetchMilliseconds: 40, prefillMilliseconds: 160}]) // 2
 */
export function worthwhileFetches(blocks: readonly FetchableBlock[]): number {
	let savedMilliseconds = 0;
	let mostSaved = 0;
	let count = 0;
	for (const [index, {isCached, fetchMilliseconds, prefillMilliseconds}] of blocks.entries()) {
		if (isCached) {
			// Its source is named beside those before it, in case that it has been evicted meanwhile.
			count = count === index ? index + 1 : count;
			continue;
		}

		if (fetchMilliseconds === undefined) {
			break;
		}

		savedMilliseconds += prefillMilliseconds - fetchMilliseconds;
		if (savedMilliseconds > mostSaved) {
			mostSaved = savedMilliseconds;
			count = index + 1;
		}
	}

	return count;
}
