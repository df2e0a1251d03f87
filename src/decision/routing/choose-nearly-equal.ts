/** Chooses among endpoints whose scores tell less than they seem to. */
import {hashOf} from '../../shared/hash-of.js';
import {type PriorityClass} from '../../shared/types.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** What is chosen among. */
export type ScoredEndpoint = {endpoint: EndpointView; score: number};

/** Two endpoints whose scores are closer than this share are taken as equal: the reports are no better than that. */
const nearlyEqualShare = 0.1;
const nearlyEqualMilliseconds: Record<PriorityClass, number> = {urgent: 20, normal: 300, overnight: 1000};

/**
 * Gives the least score; among those nearly as good, the one that the hash of the prefix names.
 *
 * @param estimates - The candidates; a lower score is better, in milliseconds.
 * @param request - Its class says how near is near, its first piece decides among equals.
 * @returns The candidate; `undefined` without any.
 */
export function chooseNearlyEqual<Estimate extends ScoredEndpoint>(estimates: readonly Estimate[], request: RouteRequest): Estimate | undefined {
	let least = Number.POSITIVE_INFINITY;
	for (const {score} of estimates) {
		least = Math.min(least, score);
	}

	const limit = least + Math.max(nearlyEqualMilliseconds[request.priority], least * nearlyEqualShare);
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
