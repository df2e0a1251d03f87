/**
 * Rules for engines whose weights are older than the wanted version of a model.
 *
 * In a rollout of new weights, operators grant a time within which runs may still start on the older ones. Instances
 * restart meanwhile, and the lease holder that orders the loads may hang. If placement did not enforce the end of the
 * grant itself, it would go on sending prompts to engines that were never updated, and callers that rely on the change
 * would get wrong answers. A prompt starts only when its engine gets to it, so the wait there counts too.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PlacementRequest} from './placement.js';

/** Allowance for a longer wait at an engine than expected: other instances send prompts that they have not reported yet. */
const startMarginMilliseconds = 1000;

/** Whether the engine's weights are older than the wanted version of the prompt's model. */
export function hasOlderWeights(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	const {prompt, wantedVersion} = request;
	return wantedVersion !== undefined && prompt !== undefined && versionAt(endpoint, prompt.model) < wantedVersion;
}

/**
 * Until when runs may start on the weights that the engine has, in milliseconds of the steady clock; infinite if they are
 * not older.
 */
export function olderWeightsDeadline(request: PlacementRequest, endpoint: EndpointRecord): number {
	const {prompt} = request;
	return prompt === undefined || !hasOlderWeights(request, endpoint) ? Number.POSITIVE_INFINITY : request.olderWeightsUntil(versionAt(endpoint, prompt.model));
}

/**
 * Decides whether a prompt that is sent now starts while runs may still start on the engine's weights.
 *
 * @param request - The prompt.
 * @param endpoint - The engine.
 * @param waitMilliseconds - How long the prompt is expected to wait there.
 * @param now - Milliseconds of the steady clock.
 */
export function mayStartOnWeights(request: PlacementRequest, endpoint: EndpointRecord, waitMilliseconds: number, now: number): boolean {
	return now + waitMilliseconds + startMarginMilliseconds < olderWeightsDeadline(request, endpoint);
}

function versionAt({weightVersions}: EndpointRecord, model: string): number {
	return weightVersions.get(model) ?? 0;
}
