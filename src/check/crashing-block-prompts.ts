/** The prompts of the check of crashing prompt blocks: several blocks each, of which the last is the request's own. */
import {type Choices} from './choices.js';
import {type BlockConditions, type CrashingBlock} from './crashing-block-conditions.js';

/** What a request's body says of it. */
export type PromptPlan = {
	number: number;
	/** Events of its answer. */
	events: number;
	blocks: readonly string[];
};

/** The block that crashing requests hold beside the crashing one, in the cases that have it. */
export const companionBlock = 'd1';
const firstBlocks = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'] as const;
const middleBlocks = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6', 'b7', 'b8'] as const;
const fewestEvents = 8;
const mostEvents = 36;
const blockTokens = 200;
const ownTokens = 60;

export function promptBody({number, events, blocks}: PromptPlan): string {
	return [number, events, blocks.join(',')].join(' ');
}

export function promptPlanOf(body: string): PromptPlan {
	const [number = '', events = '', blocks = ''] = body.split(' ');
	return {number: Number(number), events: Number(events), blocks: blocks.split(',')};
}

/** The values of the headers that describe a prompt. */
export function promptHeaderValues({events, blocks}: PromptPlan): {tokenCount: string; promptParts: string} {
	const tokens = ((blocks.length - 1) * blockTokens) + ownTokens;
	return {
		tokenCount: `${tokens},${events}`,
		promptParts: blocks.map((block, index) => `${block}:${index === blocks.length - 1 ? ownTokens : blockTokens}`).join(','),
	};
}

/** Draws a sound prompt; `elapsedMilliseconds` is the time since the start of the traffic. */
export function drawSoundPrompt(choices: Choices, conditions: BlockConditions, number: number, elapsedMilliseconds: number): PromptPlan {
	const {companion} = conditions;
	const hasCompanion = companion !== undefined && elapsedMilliseconds >= companion.soundFrom && choices.chance(companion.soundPercent);
	const blocks = [drawFirst(choices, conditions), ...drawMiddle(choices), ...(hasCompanion ? [companionBlock] : []), ownBlock(number)];
	return {number, events: choices.between(fewestEvents, mostEvents), blocks};
}

/** Draws a prompt that holds a crashing block, and otherwise what sound prompts hold. */
export function drawCrashingPrompt(choices: Choices, conditions: BlockConditions, number: number, {id, place}: CrashingBlock): PromptPlan {
	const beside = conditions.companion === undefined ? [] : [companionBlock];
	const [before, after] = [drawMiddle(choices), drawMiddle(choices)];
	const shared = [...before, ...beside, ...(place === 'middle' ? [id] : []), ...after.filter(block => !before.includes(block))];
	const blocks = [place === 'first' ? id : drawFirst(choices, conditions), ...shared, place === 'last' ? id : ownBlock(number)];
	return {number, events: choices.between(fewestEvents, mostEvents), blocks};
}

function drawFirst(choices: Choices, {hasOneFirstBlock}: BlockConditions): string {
	return hasOneFirstBlock ? firstBlocks[0] : choices.oneOf(firstBlocks);
}

function drawMiddle(choices: Choices): string[] {
	const first = choices.between(0, middleBlocks.length - 1);
	return middleBlocks.slice(first, first + choices.between(0, 2));
}

function ownBlock(number: number): string {
	return `e${number.toString(16)}`;
}
