/**
 * Whether a prompt still fits an engine.
 *
 * Load it answers: fewer engines than the prompts need, after crashes or in a burst. Without it every prompt is sent; the
 * engines' memory fills, running prompts are pushed out and read again, reading slows all tokens, and soon no prompt is
 * answered in time, the urgent ones included. Refused at once, the caller can come back when there is room.
 *
 * Urgent prompts may push others out, so they are let in further. Nothing is refused while an engine has nothing left to
 * read: it would stand idle.
 */
import {type EndpointLoad, unreadBefore} from './endpoint-load.js';

/** What a prompt asks of an engine. */
export type PromptNeed = {
	rank: number;
	/** Time to the first token that still counts as prompt. */
	objectiveMilliseconds: number;
	/** Tokens of memory from the start to the end. */
	heldTokens: number;
	/** Tokens that this engine would read for it. */
	readTokens: number;
};

/**
 * Part of the objective that may be spent waiting for more urgent and earlier prompts to be read, by rank. The most urgent
 * prompts pass all others, so what they wait for is little; they are refused only if they would surely be late.
 */
const waitShares = [1.5, 1, 0.7];
/**
 * Part of the engine's memory that requests under way may claim, by rank. The rest is for what the others sent since the
 * last news of them: where it is missing, running prompts are pushed out of memory and read again, the long ones first,
 * and on the busiest days a fifth of all reading was that. More room than this pushed out no fewer prompts.
 */
const memoryShares = [1, 0.9, 0.75];

/**
 * Decides whether an engine takes a prompt.
 *
 * @param need - The prompt.
 * @param load - What all instances have under way at the engine.
 * @param engine - Its memory in tokens, and how many it reads in a millisecond.
 * @returns Whether the prompt is sent there.
 */
export function admitsPrompt(need: PromptNeed, load: EndpointLoad, engine: {capacityTokens: number; tokensPerMillisecond: number}): boolean {
	const rank = Math.min(waitShares.length - 1, need.rank);
	const before = unreadBefore(load, rank);
	if (unreadBefore(load, waitShares.length - 1) === 0) {
		return true;
	}

	const waitMilliseconds = (before + need.readTokens) / engine.tokensPerMillisecond;
	const isInTime = waitMilliseconds <= waitShares[rank]! * need.objectiveMilliseconds;
	const fits = load.heldTokens + need.heldTokens <= memoryShares[rank]! * engine.capacityTokens;
	return isInTime && fits;
}
