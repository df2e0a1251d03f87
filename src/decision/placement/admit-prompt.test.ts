import assert from 'node:assert/strict';
import {test} from 'node:test';
import {admitsPrompt, type PromptNeed} from './admit-prompt.js';
import {type EndpointLoad, noLoad} from './endpoint-load.js';

const engine = {capacityTokens: 100_000, tokensPerMillisecond: 50};
const overnight: PromptNeed = {
	rank: 2, objectiveMilliseconds: 1000, heldTokens: 12_000, readTokens: 3000,
};
const urgent: PromptNeed = {
	rank: 0, objectiveMilliseconds: 600, heldTokens: 2500, readTokens: 1000,
};
const load = (changes: Partial<EndpointLoad>): EndpointLoad => ({...noLoad, requests: 5, ...changes});

test('an engine with nothing left to read takes whatever comes', () => {
	assert.equal(admitsPrompt(overnight, load({heldTokens: 99_000}), engine), true);
});

test('work that can wait is refused when it would be late or push others out, urgent work is not', () => {
	const behind = load({unreadTokens: [0, 0, 40_000], heldTokens: 60_000});
	assert.equal(admitsPrompt(overnight, behind, engine), false);
	assert.equal(admitsPrompt(urgent, behind, engine), true);
	const full = load({unreadTokens: [0, 0, 3000], heldTokens: 95_000});
	assert.equal(admitsPrompt(overnight, full, engine), false);
	assert.equal(admitsPrompt(urgent, full, engine), true);
});

test('urgent work is refused when more of its own kind is waiting than can be read in time', () => {
	assert.equal(admitsPrompt(urgent, load({unreadTokens: [60_000, 0, 0]}), engine), false);
});
