import assert from 'node:assert/strict';
import {test} from 'node:test';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {SimulatedEngines} from '../testing/simulated-engines.js';
import {testPromptRequest} from '../testing/test-prompt-request.js';
import {type PlacementRequest} from './placement.js';

const tokensPerMillisecond = 64;
const seconds = 30;
const engines = Array.from({length: 13}, (_, index) => testEndpoint({
	name: `e${index}`, address: `10.0.0.${index}:1`, slots: 12, weightVersions: new Map([['lease', 1]]),
}));

/** A kind of prompt: its rate, its size range, and the objective of its first token. */
type PromptKind = {rank: number; perSecond: number; minTokens: number; maxTokens: number; objectiveMilliseconds: number};

const long: PromptKind = {
	rank: 1, perSecond: 32, minTokens: 2000, maxTokens: 30_000, objectiveMilliseconds: 600,
};
const short: PromptKind = {
	rank: 0, perSecond: 173, minTokens: 100, maxTokens: 500, objectiveMilliseconds: 300,
};

function promptOf({rank, objectiveMilliseconds}: PromptKind, id: string, promptTokens: number): PlacementRequest {
	return testPromptRequest({
		id,
		rank,
		objectiveMilliseconds,
		prompt: {
			model: 'lease', promptTokens, maxOutputTokens: 20, blocks: [{id, tokens: promptTokens}],
		},
	});
}

/** Prompts of a kind at random arrival times. */
function arrivalsOf(kind: PromptKind, random: () => number): Array<{kind: PromptKind; at: number; tokens: number}> {
	const count = kind.perSecond * seconds;
	return Array.from({length: count}, () => ({
		kind, at: 1000 * seconds * random(), tokens: Math.round(kind.minTokens + ((kind.maxTokens - kind.minTokens) * random())),
	}));
}

/**
 * Simulates the load and returns how many prompts of each kind were answered in time. Engines complete the prefill of
 * each prompt that they have admitted.
 */
function simulate(): Map<PromptKind, number> {
	const random = seededRandom(7);
	const simulated = new SimulatedEngines('split', engines);
	const inTime = new Map<PromptKind, number>([[long, 0], [short, 0]]);
	const arrivals = [...arrivalsOf(long, random), ...arrivalsOf(short, random)].toSorted((one, other) => one.at - other.at);
	for (const [index, {kind, at, tokens}] of arrivals.entries()) {
		const milliseconds = simulated.send(promptOf(kind, `p${index}`, tokens), at, () => tokens / tokensPerMillisecond);
		const isInTime = milliseconds !== undefined && milliseconds <= kind.objectiveMilliseconds;
		inTime.set(kind, inTime.get(kind)! + (isInTime ? 1 : 0));
	}

	return inTime;
}

test('short urgent prompts do not wait behind long ones that an engine has admitted', t => {
	// Long prompts of some ten thousand tokens arrive among many short ones that are more urgent. A short prompt
	// overtakes long ones only in an engine's queue: once the engine has admitted a long prompt, it completes its
	// prefill. A short prompt that is sent there waits for hundreds of milliseconds while other engines are idle.
	const inTime = simulate();
	const shareOf = (kind: PromptKind): number => inTime.get(kind)! / (kind.perSecond * seconds);
	t.diagnostic(`in time: short ${shareOf(short).toFixed(3)}, long ${shareOf(long).toFixed(3)}`);
	assert.ok(shareOf(short) >= 0.95, `short: ${shareOf(short)}`);
	assert.ok(shareOf(long) >= 0.95, `long: ${shareOf(long)}`);
});
