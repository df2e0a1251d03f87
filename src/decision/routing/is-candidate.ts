import {type EndpointView, type RouteRequest} from './routing-policy.js';

/** An endpoint that has sent nothing for this long counts as leaving: about three of its load reports are missing. */
export const unresponsiveAfterMilliseconds = 3000;

/**
 * Decides whether an endpoint may get a request at all.
 *
 * @param endpoint - What is known of the endpoint.
 * @param request - The request.
 * @param now - Milliseconds since the epoch.
 * @returns False for one of another service, one that is not live, one that has been unresponsive too long, or one to
 * avoid.
 */
export function isCandidate(endpoint: EndpointView, request: RouteRequest, now: number): boolean {
	return endpoint.service === request.service
		&& endpoint.state === 'live'
		&& now - endpoint.heardAt <= unresponsiveAfterMilliseconds
		&& !request.avoid.includes(endpoint.name);
}
