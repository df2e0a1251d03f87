/** Chooses among endpoints whose scores are less exact than they look. */
import {hashOf} from '../../shared/hash-of.js';
import {type PriorityClass} from '../../shared/types.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** A candidate with its score. */
export type ScoredEndpoint = {endpoint: EndpointView; score: number};

/** Scores that differ by less than this share count as equal, since the reports are no more exact. */
const nearlyEqualShare = 0.1;
const nearlyEqualMilliseconds: Record<PriorityClass, number> = {urgent: 20, normal: 300, overnight: 1000};

/**
 * Returns the candidate with the lowest score; among nearly equal ones, the one that the hash of the prefix selects.
 *
 * @param estimates - The candidates; a lower score is better, in milliseconds.
 * @param request - Its class decides which scores are nearly equal, its first block which of those is chosen.
 * @returns The candidate; `undefined` without any.
 */
export function chooseNearlyEqual<Estimate extends ScoredEndpoint>(estimates: readonly Estimate[], request: RouteRequest): Estimate | undefined {
	let minimum = Number.POSITIVE_INFINITY;
	for (const {score} of estimates) {
		minimum = Math.min(minimum, score);
	}

	const limit = minimum + Math.max(nearlyEqualMilliseconds[request.priority], minimum * nearlyEqualShare);
	const key = request.pieceKeys[0] ?? request.requestId;
	let best: Estimate | undefined;
	let bestHash = -1;
	for (const estimate of estimates) {
		const hash = estimate.score <= limit ? hashOf(`${key}|${estimate.endpoint.name}`) : -1;
		if (hash > bestHash) {
			best = estimate;
			bestHash = hash;
		}
	}

	return best;
}
