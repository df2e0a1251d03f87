/**
 * How many requests one instance may have under way at a service, worked out from the endpoints' load reports.
 *
 * Load it answers: work that can wait arriving faster than it is prefilled. Without it every prompt is at an engine at
 * once: batches fill, an urgent one finds no place, and what waits can no longer be put in fair order. The limit keeps
 * the queue here, where it is ordered by class and workspace, and each engine just busy enough not to run dry between
 * two reports. It is worked out once per round of reports: twice from the same report, each instance would take the
 * same free places again.
 */
import {silenceLimitMilliseconds} from '../routing/is-candidate.js';
import {type EndpointView} from '../routing/routing-policy.js';
import {type ServiceCapacity} from './admission-policy.js';

/** Prefill that an engine should have before it: it covers the time between two reports and their lag. */
export const prefillTargetMilliseconds = 800;
/** Share of an engine's batch that work which can wait may fill; the rest is free for urgent prompts at once. */
export const waitingWorkBatchShare = 0.75;
/** Share of accelerator memory that running prompts may take before work that can wait waits here; the rest keeps prefixes. */
export const waitingWorkMemoryShare = 0.6;
/** An overfull endpoint takes at most this share of its batch from the others' places, so that one cannot starve all. */
const mostOverfullShare = 0.5;
/** Urgent prompts may queue this many times the batch at the engines, which order them before all others. */
const urgentBatchShare = 1.5;

/** Whose places are worked out. */
export type CapacityAsker = {
	service: string;
	/** Requests of this instance that are admitted and not ended. */
	underWay: number;
	/** Instances that send to the same endpoints. */
	instances: number;
	/** Prompt tokens that a request which can wait has to have prefilled, on average; see `RequestAverage`. */
	expectedPrefillTokens: number;
	/** Its whole prompt, on average: what it takes of accelerator memory. */
	expectedPromptTokens: number;
	/** Decides how a part of a place is rounded, from 0 up to, and without, 1; spread evenly over instances and calls. */
	dither: number;
};

/**
 * Works out an instance's places.
 *
 * @param endpoints - What is known of the endpoints.
 * @param asker - Whose places.
 * @param now - Milliseconds since the epoch.
 * @returns Places for all work, and for urgent work. With overfull endpoints they are fewer than are under way.
 */
export function instanceCapacity(endpoints: readonly EndpointView[], asker: CapacityAsker, now: number): ServiceCapacity {
	let free = 0;
	let batches = 0;
	for (const {service, state, heardAt, load} of endpoints) {
		if (service === asker.service && state === 'live' && load !== undefined && now - heardAt <= silenceLimitMilliseconds) {
			const placesLeft = (load.batchLimit * waitingWorkBatchShare) - load.runningRequests - load.waitingRequests;
			const prefillTarget = load.prefillTokensPerSecond * prefillTargetMilliseconds / 1000;
			const prefillLeft = (prefillTarget - load.waitingPrefillTokens) / Math.max(1, asker.expectedPrefillTokens);
			const memoryLeft = ((load.kvTokensCapacity * waitingWorkMemoryShare) - load.kvTokensUsed) / Math.max(1, asker.expectedPromptTokens);
			free += Math.max(-mostOverfullShare * load.batchLimit, Math.min(placesLeft, prefillLeft, memoryLeft));
			batches += load.batchLimit;
		}
	}

	const instances = Math.max(1, asker.instances);
	return {
		places: Math.max(0, asker.underWay + Math.floor((free / instances) + asker.dither)),
		urgentPlaces: Math.ceil(batches * urgentBatchShare / instances) + 1,
	};
}
