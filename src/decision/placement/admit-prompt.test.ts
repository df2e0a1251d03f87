import assert from 'node:assert/strict';
import {test} from 'node:test';
import {admitsPrompt, type PromptNeed} from './admit-prompt.js';
import {type EndpointLoad, noLoad} from './endpoint-load.js';

const engine = {capacityTokens: 100_000, tokensPerMillisecond: 50};
const overnight: PromptNeed = {
	rank: 2, objectiveMilliseconds: 1000, heldTokens: 12_000, prefillTokens: 3000,
};
const urgent: PromptNeed = {
	rank: 0, objectiveMilliseconds: 600, heldTokens: 2500, prefillTokens: 1000,
};
const load = (changes: Partial<EndpointLoad>): EndpointLoad => ({...noLoad, requests: 5, ...changes});

test('an engine with nothing left to prefill accepts every prompt', () => {
	assert.equal(admitsPrompt(overnight, load({heldTokens: 99_000}), engine), true);
});

test('overnight prompts are refused where they would be late or evict others, urgent prompts are not', () => {
	const backlogged = load({pendingPrefillTokens: [0, 0, 40_000], heldTokens: 60_000});
	assert.equal(admitsPrompt(overnight, backlogged, engine), false);
	assert.equal(admitsPrompt(urgent, backlogged, engine), true);
	const full = load({pendingPrefillTokens: [0, 0, 3000], heldTokens: 95_000});
	assert.equal(admitsPrompt(overnight, full, engine), false);
	assert.equal(admitsPrompt(urgent, full, engine), true);
});

test('urgent prompts are refused when more urgent tokens are waiting than can be prefilled in time', () => {
	assert.equal(admitsPrompt(urgent, load({pendingPrefillTokens: [60_000, 0, 0]}), engine), false);
});
