/**
 * Decides whether an engine has room for a prompt.
 *
 * Without this check every prompt is sent, even when there are fewer engines than the load needs, after crashes or in a
 * burst. The engines' memory then fills, running prompts are evicted and prefilled a second time, prefill slows every
 * token, and soon no prompt meets its objective, urgent ones included. A caller that is refused at once can retry when
 * there is room.
 *
 * Urgent prompts may evict others, so their limits are wider. An engine with nothing left to prefill accepts every
 * prompt, since it would be idle otherwise.
 */
import {type EndpointLoad, prefillTokensUpTo} from './endpoint-load.js';

/** What a prompt needs from an engine. */
export type PromptNeed = {
	rank: number;
	/** Time to the first token that still meets the objective. */
	objectiveMilliseconds: number;
	/** KV memory that it needs from start to end, in tokens. */
	heldTokens: number;
	/** Tokens that this engine would have to prefill for it. */
	prefillTokens: number;
};

/**
 * Share of the objective that may pass while more urgent and earlier prompts are prefilled, by rank. The most urgent
 * prompts overtake all others and so wait for little; they are refused only if they would certainly be late.
 */
const maxWaitShares = [1.5, 1, 0.7];
/**
 * Share of the engine's memory that requests in flight may claim, by rank. The rest is a reserve for what other instances
 * have sent since their last report. Without it, running prompts are evicted and prefilled again, the long ones first,
 * which on the busiest days was a fifth of all prefill. A larger reserve prevented no further evictions.
 */
const maxMemoryShares = [1, 0.9, 0.75];

/**
 * Decides whether an engine accepts a prompt.
 *
 * @param need - The prompt.
 * @param load - The load of all instances at the engine.
 * @param engine - Its memory in tokens, and its prefill speed in tokens per millisecond.
 * @returns Whether the prompt may be sent there.
 */
export function admitsPrompt(need: PromptNeed, load: EndpointLoad, engine: {capacityTokens: number; tokensPerMillisecond: number}): boolean {
	const rank = Math.min(maxWaitShares.length - 1, need.rank);
	const tokensAhead = prefillTokensUpTo(load, rank);
	if (prefillTokensUpTo(load, maxWaitShares.length - 1) === 0) {
		return true;
	}

	const waitMilliseconds = (tokensAhead + need.prefillTokens) / engine.tokensPerMillisecond;
	const isInTime = waitMilliseconds <= maxWaitShares[rank]! * need.objectiveMilliseconds;
	const fits = load.heldTokens + need.heldTokens <= maxMemoryShares[rank]! * engine.capacityTokens;
	return isInTime && fits;
}
