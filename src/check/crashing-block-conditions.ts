/**
 * The cases of the check of crashing prompt blocks: which blocks crash engines, how the requests that hold them come, and what
 * else happens. All times are in milliseconds from the start of the traffic.
 */

export const blockCases = [
	'middle',
	'first',
	'often',
	'seldom',
	'returning',
	'two',
	'beside',
	'beside-late',
	'store-away',
	'store-away-before',
	'store-away-names-kept',
	'names-kept',
	'instances-killed',
	'coordinator-killed',
	'random-ends',
	'one-first',
	'none',
	'simultaneous',
	'turned',
	'every-20-s',
	'identical',
] as const;
export type BlockCase = typeof blockCases[number];

/**
 * How far the answer has come when an engine ends.
 *
 * - `mixed`: mostly after the head and before any byte of the body, else before the head.
 * - `within-first-event`: after a part of the first event.
 * - The others: after so many whole events of the same run.
 */
export const crashMoments = ['mixed', 'before-head', 'after-head', 'within-first-event', 'after-one-event', 'after-three-events', 'after-ten-events'] as const;
export type CrashMoment = typeof crashMoments[number];

/** A block of a prompt under which each engine ends that begins to write an answer on it. */
export type CrashingBlock = {
	id: string;
	place: 'first' | 'middle' | 'last';
	/** When requests that hold it begin to come. */
	comesAt: number;
	/** From when on it ends engines; before, they answer it. */
	crashesAt: number;
};

/**
 * What happens beside the crashing requests.
 *
 * - `ends-seldom`, `ends-often`: engines end at random, whatever they run.
 * - `half-ends`: half of the engines end at the same moment, twice.
 */
export type BlockDisturbance = 'none' | 'store-away' | 'instances-killed' | 'coordinator-killed' | 'ends-seldom' | 'ends-often' | 'half-ends';

export type BlockConditions = {
	crashingBlocks: readonly CrashingBlock[];
	crashMoment: CrashMoment;
	/** Between two crashing requests. */
	crashingPauseMilliseconds: number;
	/** How often the caller of a crashing request comes back after a failure. */
	returns: number;
	/** Whether all requests use the route with one attempt. */
	hasOneAttempt: boolean;
	/** Whether the crashing requests are all the same, to the last block and byte. */
	areAlike: boolean;
	/** Crashes after which no further request should reach an engine. */
	crashesToStop: number;
	/** Whether all prompts begin with the same block. */
	hasOneFirstBlock: boolean;
	/** The block that all crashing requests hold, too: from when on, and in which share, sound prompts hold it. */
	companion: {soundFrom: number; soundPercent: number} | undefined;
	disturbance: BlockDisturbance;
	/** When that begins. */
	disturbedFrom: number;
	/** Whether engines come back under the name that they had. */
	keepNames: boolean;
};

const comesAt = 3000;
const newBlockMilliseconds = 5000;

function crashingBlock(id: string, changes: Partial<CrashingBlock> = {}): CrashingBlock {
	return {
		id, place: 'middle', comesAt, crashesAt: 0, ...changes,
	};
}

const middle: BlockConditions = {
	crashingBlocks: [crashingBlock('c1')],
	crashMoment: 'mixed',
	crashingPauseMilliseconds: 250,
	returns: 0,
	hasOneAttempt: false,
	areAlike: false,
	crashesToStop: 5,
	hasOneFirstBlock: false,
	companion: undefined,
	disturbance: 'none',
	disturbedFrom: comesAt + 1000,
	keepNames: false,
};

/** The conditions of each case. */
export const conditionsOf: Readonly<Record<BlockCase, BlockConditions>> = {
	middle,
	first: {...middle, crashingBlocks: [crashingBlock('c1', {place: 'first'})]},
	often: {...middle, crashingPauseMilliseconds: 50},
	seldom: {...middle, crashingPauseMilliseconds: 1200},
	returning: {...middle, returns: 3, hasOneAttempt: true},
	two: {...middle, crashingBlocks: [crashingBlock('c1'), crashingBlock('c2')]},
	beside: {...middle, companion: {soundFrom: 0, soundPercent: 20}},
	'beside-late': {...middle, companion: {soundFrom: 10_000, soundPercent: 30}},
	'store-away': {...middle, disturbance: 'store-away'},
	// No instance can have learned of the block when the store goes.
	'store-away-before': {...middle, disturbance: 'store-away', disturbedFrom: comesAt - 500},
	// Instances cannot learn the new names of engines meanwhile, so only engines that keep theirs can end more than once.
	'store-away-names-kept': {
		...middle, disturbance: 'store-away', disturbedFrom: comesAt - 500, keepNames: true,
	},
	'names-kept': {...middle, keepNames: true},
	'instances-killed': {...middle, disturbance: 'instances-killed'},
	'coordinator-killed': {...middle, disturbance: 'coordinator-killed'},
	'random-ends': {...middle, disturbance: 'ends-seldom'},
	'one-first': {...middle, hasOneFirstBlock: true},
	none: {...middle, crashingBlocks: [], disturbance: 'ends-often'},
	simultaneous: {...middle, crashingBlocks: [], disturbance: 'half-ends'},
	turned: {...middle, crashingBlocks: [crashingBlock('c1', {comesAt: 500, crashesAt: 7000})]},
	'every-20-s': {
		...middle, crashingBlocks: ['c1', 'c2', 'c3'].map((id, index) => crashingBlock(id, {comesAt: comesAt + (index * newBlockMilliseconds)})),
	},
	identical: {
		...middle, crashingBlocks: [crashingBlock('c1', {place: 'last'})], areAlike: true, crashesToStop: 3,
	},
};
