/**
 * Decides which requests crash the endpoints that run them, from the requests that were in flight at each crash.
 *
 * A request that crashes its endpoint comes again and ends one endpoint after another, and callers of other requests lose
 * their answers each time. Those are retried and may be beside it at its next crash, so a count for each request alone would
 * take them for it. The crashes are attributed to as few requests as possible instead: the request that was present at most
 * crashes accounts for all of these, and another one must account for enough crashes that are left.
 */

/** One crash of an endpoint. */
export type Crash = {
	/** Identifies the incarnation of the endpoint that ended. */
	incarnation: string;
	/** The requests that were in flight there, by fingerprint: for how many milliseconds each had been. */
	requests: ReadonlyMap<string, number>;
};

/** A request that is to be blocked, and the incarnations that its crashes ended. */
export type CrashingRequest = {
	fingerprint: string;
	incarnations: readonly string[];
};

/**
 * Crashes that a request must account for before it is blocked. Two can meet the same innocent request by chance when two
 * endpoints fail one after the other and it is retried; each further crash costs the callers another endpoint.
 */
export const crashesToBlock = 3;

/** A request that was present at crashes. */
export type Suspect = {
	fingerprint: string;
	incarnations: ReadonlySet<string>;
	/** Sum over the crashes. */
	inFlightMilliseconds: number;
};

/**
 * Lists the requests that were present at several crashes.
 *
 * @param crashes - The known crashes, one for each incarnation.
 * @param minCrashes - Requests that were present at fewer are left out.
 */
export function findSuspects(crashes: Iterable<Crash>, minCrashes: number): Suspect[] {
	const suspects = new Map<string, Suspect & {incarnations: Set<string>}>();
	for (const {incarnation, requests} of crashes) {
		for (const [fingerprint, inFlightMilliseconds] of requests) {
			const suspect = suspects.get(fingerprint) ?? {fingerprint, incarnations: new Set(), inFlightMilliseconds: 0};
			suspect.incarnations.add(incarnation);
			suspect.inFlightMilliseconds += inFlightMilliseconds;
			suspects.set(fingerprint, suspect);
		}
	}

	return [...suspects.values()].filter(({incarnations}) => incarnations.size >= minCrashes);
}

type Candidate = Suspect & {unexplained: Set<string>};

/**
 * Finds the requests to block.
 *
 * Of several requests that were present at equally many crashes, the one that had been in flight for the shortest time is
 * chosen: the endpoint had survived running the others for longer. If that is wrong, the next crash, without the chosen
 * request, shows it.
 *
 * @param crashes - The known crashes, one for each incarnation.
 * @returns The requests, in the order in which they were chosen.
 */
export function findCrashingRequests(crashes: Iterable<Crash>): CrashingRequest[] {
	const candidates: Candidate[] = findSuspects(crashes, crashesToBlock).map(suspect => ({...suspect, unexplained: new Set(suspect.incarnations)}));
	const found: CrashingRequest[] = [];
	for (;;) {
		let best: Candidate | undefined;
		for (const candidate of candidates) {
			if (candidate.unexplained.size >= crashesToBlock && (best === undefined || isMoreLikely(candidate, best))) {
				best = candidate;
			}
		}

		if (best === undefined) {
			return found;
		}

		const incarnations = [...best.unexplained];
		found.push({fingerprint: best.fingerprint, incarnations});
		for (const {unexplained} of candidates) {
			for (const incarnation of incarnations) {
				unexplained.delete(incarnation);
			}
		}
	}
}

/** All instances must choose the same request, whatever the order in which they learned of the crashes. */
function isMoreLikely(candidate: Candidate, other: Candidate): boolean {
	if (candidate.unexplained.size !== other.unexplained.size) {
		return candidate.unexplained.size > other.unexplained.size;
	}

	if (candidate.inFlightMilliseconds !== other.inFlightMilliseconds) {
		return candidate.inFlightMilliseconds < other.inFlightMilliseconds;
	}

	return candidate.fingerprint < other.fingerprint;
}
