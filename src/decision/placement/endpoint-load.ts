/** The load of one endpoint: the requests in flight there, of one instance or the sum over several. */

export type EndpointLoad = {
	requests: number;
	/** Prompt tokens that the endpoint has yet to prefill, by rank; the last entry covers all less urgent ranks. */
	pendingPrefillTokens: readonly number[];
	/** KV memory that all requests in flight may come to need, in tokens. */
	heldTokens: number;
	/** How long the oldest request without a byte of its answer has waited, in milliseconds. */
	oldestWaitMilliseconds: number;
	/** Time since the last byte from the endpoint, in milliseconds. */
	lastByteAgoMilliseconds: number;
};

/** What shows whether an endpoint is unresponsive. */
export type EndpointSilence = Pick<EndpointLoad, 'oldestWaitMilliseconds' | 'lastByteAgoMilliseconds'>;

/** Number of ranks that a load distinguishes; prompts use two or three. */
export const rankCount = 3;

/** The load of an unused endpoint. */
export const noLoad: EndpointLoad = {
	requests: 0, pendingPrefillTokens: [0, 0, 0], heldTokens: 0, oldestWaitMilliseconds: 0, lastByteAgoMilliseconds: Number.POSITIVE_INFINITY,
};

/** Adds the loads of two sets of instances. */
export function addLoads(one: EndpointLoad, other: EndpointLoad): EndpointLoad {
	return {
		requests: one.requests + other.requests,
		pendingPrefillTokens: one.pendingPrefillTokens.map((tokens, rank) => tokens + (other.pendingPrefillTokens[rank] ?? 0)),
		heldTokens: one.heldTokens + other.heldTokens,
		oldestWaitMilliseconds: Math.max(one.oldestWaitMilliseconds, other.oldestWaitMilliseconds),
		lastByteAgoMilliseconds: Math.min(one.lastByteAgoMilliseconds, other.lastByteAgoMilliseconds),
	};
}

/** Tokens to prefill of a rank and all more urgent ones; engines prefill more urgent prompts first. */
export function prefillTokensUpTo({pendingPrefillTokens}: EndpointLoad, rank: number): number {
	return pendingPrefillTokens.slice(0, rank + 1).reduce((sum, tokens) => sum + tokens, 0);
}

/**
 * Tokens that an engine prefills before those of a prompt that arrives now. A more urgent prompt overtakes requests that
 * wait for a slot, but not those that have one: an engine completes the prefill of each prompt that it has admitted, even
 * that of a long prompt before a short urgent one.
 *
 * @param load - The load of the engine.
 * @param rank - The prompt's rank.
 * @param slots - Requests that the engine runs concurrently.
 */
export function prefillTokensAhead({requests, pendingPrefillTokens}: EndpointLoad, rank: number, slots: number): number {
	const admittedShare = Math.min(1, slots / Math.max(1, requests));
	return pendingPrefillTokens.reduce((sum, tokens, other) => sum + (other <= rank ? tokens : admittedShare * tokens), 0);
}

/**
 * An endpoint with waiting requests counts as unresponsive after this time without a byte: a working engine sends some
 * event every few dozen milliseconds, and a plain service answers within its usual work time. A shorter time would blame
 * an endpoint for one long prompt; its row in the endpoint list expires only after several missed heartbeats.
 */
export const unresponsiveMilliseconds = 700;

/**
 * The same while the load of the other instances is unknown. An instance with a single request at an endpoint receives
 * nothing from it while that request queues there after the requests of other instances.
 */
export const unresponsiveOwnViewMilliseconds = 1400;

/** Whether an endpoint has had a request waiting and sent no byte for longer than a limit in milliseconds. */
export function isUnresponsive({oldestWaitMilliseconds, lastByteAgoMilliseconds}: EndpointSilence, limitMilliseconds = unresponsiveMilliseconds): boolean {
	return oldestWaitMilliseconds > limitMilliseconds && lastByteAgoMilliseconds > limitMilliseconds;
}
