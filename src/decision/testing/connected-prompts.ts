/** Draws prompts that share blocks: some start with one of a few long prefixes, and conversations return with all that was said. */
import {type PlacementRequest} from '../placement/placement.js';
import {testPromptRequest} from './test-prompt-request.js';

/** A kind of prompt, by the objectives, prefixes and lengths that matter for its placement. */
type PromptKind = {
	perSecond: number; rank: number; objectiveMilliseconds: number; prefixes: number; prefixTokens: number; ownTokens: number; turns?: number;
};

/** The conversation that a prompt continues. */
type Conversation = {id: string; prefix: number; turn: number};

/** The load of one deployment: its kinds of prompts and its engines. */
export type ConnectedLoad = {
	kinds: readonly PromptKind[];
	instances: number;
	engines: number;
	slots: number;
	capacityTokens: number;
	tokensPerMillisecond: number;
	/** The maximum number of connections to an engine. */
	connectionLimit: number;
	/** Share of the time for which an engine takes 2.5 times as long. */
	slowShare: number;
	/** The timeouts of idle connections that engines state in turn. */
	statedSeconds: readonly number[];
};

/** The loads of the deployments of docs/design/contended-load.md; the lengths of the prompts are assumed. */
export const connectedLoads = {
	few: {
		instances: 31,
		engines: 98,
		slots: 16,
		capacityTokens: 98_477,
		tokensPerMillisecond: 55,
		connectionLimit: 64,
		slowShare: 0.15,
		statedSeconds: [1, 2, 3, 4, 5],
		kinds: [
			{
				perSecond: 252, rank: 0, objectiveMilliseconds: 604, prefixes: 60, prefixTokens: 1200, ownTokens: 500,
			},
			{
				perSecond: 118, rank: 1, objectiveMilliseconds: 503, prefixes: 120, prefixTokens: 900, ownTokens: 700,
			},
			{
				perSecond: 174, rank: 2, objectiveMilliseconds: 1008, prefixes: 60, prefixTokens: 3000, ownTokens: 4000, turns: 4,
			},
		],
	},
	many: {
		instances: 130,
		engines: 42,
		slots: 64,
		capacityTokens: 130_364,
		tokensPerMillisecond: 101,
		connectionLimit: 256,
		slowShare: 0,
		statedSeconds: [1, 2, 3, 4, 5],
		kinds: [
			{
				perSecond: 342, rank: 0, objectiveMilliseconds: 258, prefixes: 120, prefixTokens: 900, ownTokens: 700,
			},
			{
				perSecond: 158, rank: 1, objectiveMilliseconds: 410, prefixes: 60, prefixTokens: 1200, ownTokens: 500,
			},
			{
				perSecond: 93, rank: 2, objectiveMilliseconds: 1219, prefixes: 60, prefixTokens: 3000, ownTokens: 4000, turns: 4,
			},
		],
	},
} as const satisfies Record<string, ConnectedLoad>;

/** The same load with so many times the prompts. */
export function scaledLoad(load: ConnectedLoad, factor: number): ConnectedLoad {
	return {...load, kinds: load.kinds.map(kind => ({...kind, perSecond: factor * kind.perSecond}))};
}

/** How many conversations go on at the same time. */
const conversationCount = 600;

export class ConnectedPrompts {
	readonly #kinds: readonly PromptKind[];
	readonly #random: () => number;
	readonly #conversations: Conversation[] = [];
	#count = 0;

	constructor(kinds: readonly PromptKind[], random: () => number) {
		this.#kinds = kinds;
		this.#random = random;
	}

	/** Prompts a second of all kinds. */
	get perSecond(): number {
		return this.#kinds.reduce((sum, {perSecond}) => sum + perSecond, 0);
	}

	/** Draws the next prompt. */
	next(): PlacementRequest {
		let drawn = this.#random() * this.perSecond;
		const index = Math.max(0, this.#kinds.findIndex(({perSecond}) => {
			drawn -= perSecond;
			return drawn < 0;
		}));
		const {
			rank, objectiveMilliseconds, prefixes, prefixTokens, ownTokens, turns,
		} = this.#kinds[index]!;
		const id = `p${this.#count++}`;
		const drawPrefix = (): number => Math.floor(prefixes * (this.#random() ** 2));
		const conversation = turns === undefined ? undefined : this.#nextTurn(id, turns, drawPrefix);
		const blocks = [
			{id: `k${index}-${conversation?.prefix ?? drawPrefix()}`, tokens: prefixTokens},
			...Array.from({length: conversation?.turn ?? 1}, (_, turn) => ({id: conversation === undefined ? id : `${conversation.id}-${turn}`, tokens: ownTokens})),
		];
		return testPromptRequest({
			id, rank, objectiveMilliseconds, prompt: {
				model: 'lease', promptTokens: blocks.reduce((sum, {tokens}) => sum + tokens, 0), maxOutputTokens: 20, blocks,
			},
		});
	}

	/** A conversation ends after its turns, and another one with another prefix takes its place. */
	#nextTurn(id: string, turns: number, drawPrefix: () => number): Conversation {
		const index = Math.floor(this.#random() * conversationCount);
		const former = this.#conversations[index];
		const conversation = former === undefined || former.turn === turns ? {id, prefix: drawPrefix(), turn: 1} : {...former, turn: former.turn + 1};
		this.#conversations[index] = conversation;
		return conversation;
	}
}
