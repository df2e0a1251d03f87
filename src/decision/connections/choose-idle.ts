/**
 * Chooses an endpoint with an idle connection in place of one that would need a new connection, where that changes nothing that a
 * caller would notice: no more prefill, none ahead of it, and no cost that counts as larger. Where the load of
 * the other instances is not known, nothing shows that there is no prefill ahead, and the endpoint of the least cost is kept. So is an
 * owner that is preferred for blocks that are cached nowhere, since later callers would not find them elsewhere.
 */
import {type Candidate, staleLoadSpreadMilliseconds} from '../placement/candidate.js';

/**
 * Returns the candidate to send to.
 *
 * @param best - The candidate of the least cost.
 * @param candidates - All candidates that accept the request.
 */
export function chooseIdle(best: Candidate, candidates: readonly Candidate[]): Candidate {
	if (best.basis.connection !== 'new' || best.isPreferredOwner) {
		return best;
	}

	const limit = Math.min(...candidates.map(candidate => costWithoutSpread(candidate))) + staleLoadSpreadMilliseconds;
	let chosen: Candidate | undefined;
	let least = limit;
	for (const candidate of candidates) {
		const cost = costWithoutSpread(candidate);
		if (cost <= least && serves(candidate, best)) {
			chosen = candidate;
			least = cost;
		}
	}

	return chosen ?? best;
}

/** Whether a candidate with an idle connection serves a request no worse than the best one, as far as is known. */
function serves({basis}: Candidate, best: Candidate): boolean {
	return basis.connection === 'idle'
		&& basis.unreadBefore === 0
		&& basis.readTokens <= best.basis.readTokens
		&& basis.fetchTokens <= best.basis.fetchTokens;
}

function costWithoutSpread({basis, spreadMilliseconds}: Candidate): number {
	return basis.costMilliseconds - spreadMilliseconds;
}
