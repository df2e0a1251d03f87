/**
 * Engines whose weights are older than those that were named.
 *
 * Load it answers: new weights are named while instances restart and the holder of the duty to load them stands still. The
 * operators grant a time within which runs may still begin on the older weights. Without an end of its own, placing goes on
 * sending to engines that nobody has brought to the new weights, and their answers are wrong for whoever relies on the
 * change. A prompt begins only when its engine gets to it, so the wait there counts as well.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PlacementRequest} from './placement.js';

/** What a prompt may wait at an engine beyond what is expected: prompts that others sent since the last news of them. */
const beginMarginMilliseconds = 1000;

/** Whether the engine has older weights than were named for the model. */
export function isBehind(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	const {prompt, wantedVersion} = request;
	return wantedVersion !== undefined && prompt !== undefined && versionAt(endpoint, prompt.model) < wantedVersion;
}

/** Until when runs may begin on the weights that the engine has, in milliseconds of the steady clock. */
export function grantEnd(request: PlacementRequest, endpoint: EndpointRecord): number {
	const {prompt} = request;
	return prompt === undefined || !isBehind(request, endpoint) ? Number.POSITIVE_INFINITY : request.olderWeightsUntil(versionAt(endpoint, prompt.model));
}

/**
 * Decides whether a prompt that is sent now begins on weights that are still granted.
 *
 * @param request - The prompt.
 * @param endpoint - The engine.
 * @param waitMilliseconds - How long the prompt is expected to wait there.
 * @param now - Milliseconds of the steady clock.
 */
export function beginsInGrant(request: PlacementRequest, endpoint: EndpointRecord, waitMilliseconds: number, now: number): boolean {
	return now + waitMilliseconds + beginMarginMilliseconds < grantEnd(request, endpoint);
}

function versionAt({weightVersions}: EndpointRecord, model: string): number {
	return weightVersions.get(model) ?? 0;
}
