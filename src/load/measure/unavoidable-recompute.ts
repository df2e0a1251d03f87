/**
 * The lower bound of recomputed prompt tokens. No policy avoids prefilling questions, first uses of a context, and the
 * blocks that Belady's algorithm (evict the block whose next use is furthest in the future) evicts if all tiers together
 * are one cache. The algorithm knows the future requests, so no policy does better.
 */
import {blockTokens} from '../simulation/fake-engine.js';
import {type WorkloadRequest} from '../workload/generate-requests.js';

/**
 * Computes the minimum number of prompt tokens that have to be recomputed for each request.
 *
 * @param requests - In order of arrival.
 * @param capacityBlocks - Capacity of all tiers together, in blocks.
 * @returns Numbers of tokens, in the order of the requests.
 */
export function unavoidableRecompute(requests: readonly WorkloadRequest[], capacityBlocks: number): number[] {
	const nextUses = nextUsesOf(requests);
	const cached = new Map<string, number>();
	for (const {pieceKeys} of requests.filter(({isUsedBefore}) => isUsedBefore)) {
		for (const key of pieceKeys) {
			cached.set(key, 0);
		}
	}

	return requests.map((request, index) => {
		const reused = request.pieceKeys.filter(key => cached.has(key)).length;
		for (const [position, key] of request.pieceKeys.entries()) {
			cached.set(key, nextUses[index]![position]!);
		}

		while (cached.size > capacityBlocks) {
			cached.delete(furthestNextUse(cached));
		}

		return request.promptTokens - (reused * blockTokens);
	});
}

function furthestNextUse(cached: ReadonlyMap<string, number>): string {
	let last = '';
	let latest = -1;
	for (const [key, use] of cached) {
		if (use > latest) {
			last = key;
			latest = use;
		}
	}

	return last;
}

function nextUsesOf(requests: readonly WorkloadRequest[]): number[][] {
	const nextUse = new Map<string, number>();
	const uses: number[][] = [];
	for (let index = requests.length - 1; index >= 0; index--) {
		const {pieceKeys} = requests[index]!;
		uses.unshift(pieceKeys.map(key => nextUse.get(key) ?? Number.POSITIVE_INFINITY));
		for (const key of pieceKeys) {
			nextUse.set(key, index);
		}
	}

	return uses;
}
