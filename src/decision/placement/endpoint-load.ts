/** What is under way at an endpoint, of one instance or of several together. */

export type EndpointLoad = {
	requests: number;
	/** Prompt tokens that the endpoint has yet to read, by rank; the last entry holds all less urgent ranks. */
	unreadTokens: readonly number[];
	/** Tokens of memory that all requests under way may come to need. */
	heldTokens: number;
	/** For how long the oldest request without a byte of its answer has waited, in milliseconds. */
	oldestWaitMilliseconds: number;
	/** How long ago the last byte came from the endpoint, in milliseconds. */
	heardAgoMilliseconds: number;
};

/** Ranks that are told apart; prompts come in two or three. */
export const toldRanks = 3;

/** An endpoint that nobody uses. */
export const noLoad: EndpointLoad = {
	requests: 0, unreadTokens: [0, 0, 0], heldTokens: 0, oldestWaitMilliseconds: 0, heardAgoMilliseconds: Number.POSITIVE_INFINITY,
};

/** Adds what two sets of instances have under way. */
export function addLoads(one: EndpointLoad, other: EndpointLoad): EndpointLoad {
	return {
		requests: one.requests + other.requests,
		unreadTokens: one.unreadTokens.map((tokens, rank) => tokens + (other.unreadTokens[rank] ?? 0)),
		heldTokens: one.heldTokens + other.heldTokens,
		oldestWaitMilliseconds: Math.max(one.oldestWaitMilliseconds, other.oldestWaitMilliseconds),
		heardAgoMilliseconds: Math.min(one.heardAgoMilliseconds, other.heardAgoMilliseconds),
	};
}

/** Tokens that are read before those of a rank: engines read more urgent prompts first. */
export function unreadBefore({unreadTokens}: EndpointLoad, rank: number): number {
	return unreadTokens.slice(0, rank + 1).reduce((sum, tokens) => sum + tokens, 0);
}

/**
 * Tokens that are read before those of a prompt that comes now. A more urgent prompt passes those that wait for a slot, but
 * not those that have one: an engine reads what it has let in to its end, also a long prompt before a short urgent one.
 *
 * @param load - What is under way at the engine.
 * @param rank - The prompt's rank.
 * @param slots - Requests that the engine runs at a time.
 */
export function unreadAhead({requests, unreadTokens}: EndpointLoad, rank: number, slots: number): number {
	const letInShare = Math.min(1, slots / Math.max(1, requests));
	return unreadTokens.reduce((sum, tokens, other) => sum + (other <= rank ? tokens : letInShare * tokens), 0);
}

/**
 * With requests waiting and not a byte from an endpoint for so long, it is taken for dead: a working engine sends some
 * event every few dozen milliseconds, and a plain service answers within its usual work time. Less would blame an endpoint
 * for one long prompt; a row in the list lapses only after several heartbeats.
 */
export const silenceMilliseconds = 700;

/**
 * The same where nothing is known of the other instances. One of many has a single request at an endpoint, and hears nothing
 * from it while that waits in the endpoint's queue behind those of the others.
 */
export const lonelySilenceMilliseconds = 1400;

/** Whether an endpoint has fallen silent with requests waiting, for longer than a time in milliseconds. */
export function isSilent({oldestWaitMilliseconds, heardAgoMilliseconds}: EndpointLoad, longestMilliseconds = silenceMilliseconds): boolean {
	return oldestWaitMilliseconds > longestMilliseconds && heardAgoMilliseconds > longestMilliseconds;
}
