/**
 * Decides whether a caller's request to take a stream up may go on, and where: only at the service and software version that
 * began the stream. A refusal is immediate, since waiting changes nothing here, while another instance may know more.
 */

/** Where a stream began. */
export type Origin = {service: string; softwareVersion: string};

/** What is known of a stream: where it began, or the only version that its service has had while it can have begun. */
export type OriginKnowledge
	= | {kind: 'known'; origin: Origin}
		| {kind: 'sole-version'; softwareVersion: string}
		| {kind: 'unknown'; /** When more may be known; absent where another instance may know it now. */ retryAfterMilliseconds?: number};

export type ResumptionState = {
	/** The service that the traffic split selects for the stream's first attempt. */
	service: string;
	/** The services that may get requests of the route. */
	targets: readonly string[];
	/** Whether an endpoint of a service and version is listed for new requests. */
	isListed: (origin: Origin) => boolean;
};

/**
 * The decision.
 *
 * - `origin-unknown`: another instance may know where the stream began.
 * - `service-removed`: the route no longer leads to the service that began it.
 * - `version-gone`: no endpoint of its version is left.
 */
export type ResumptionDecision
	= | {kind: 'continue'; origin: Origin}
		| {kind: 'refuse'; reason: 'origin-unknown' | 'service-removed' | 'version-gone'; retryAfterMilliseconds?: number};

/**
 * Decides about a request that takes a stream up.
 *
 * @param knowledge - What is known of the stream.
 * @param state - The route and the endpoints as they are now.
 */
export function decideResumption(knowledge: OriginKnowledge, {service, targets, isListed}: ResumptionState): ResumptionDecision {
	if (knowledge.kind === 'unknown') {
		const {retryAfterMilliseconds} = knowledge;
		return {kind: 'refuse', reason: 'origin-unknown', ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})};
	}

	const origin = knowledge.kind === 'known' ? knowledge.origin : {service, softwareVersion: knowledge.softwareVersion};
	if (!targets.includes(origin.service)) {
		return {kind: 'refuse', reason: 'service-removed'};
	}

	return isListed(origin) ? {kind: 'continue', origin} : {kind: 'refuse', reason: 'version-gone'};
}
