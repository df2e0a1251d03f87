/** What the fault runs have in common: a scenario, its many runs, and how a failing run is made small. */
import {Choices} from './choices.js';
import {VirtualWorld} from './virtual-world.js';

/** One kind of run. `play` starts the processes; what they break is noted in the world. */
export type Scenario = {
	name: string;
	play(world: VirtualWorld): void;
	/** Looks at what is left when everything has happened. */
	judge(world: VirtualWorld): void;
};

/** A run that broke a promise, as small as it could be made. */
export type FailingRun = {
	scenario: string;
	seed: number;
	violations: string[];
	trace: string[];
};

type MakeScenario = () => Scenario;

const shrinkRounds = 400;

/**
 * Plays one run.
 *
 * @param make - Makes a fresh scenario.
 * @param choices - The choices of the run.
 * @returns The world when everything has happened.
 */
export async function playRun(make: MakeScenario, choices: Choices): Promise<VirtualWorld> {
	const world = new VirtualWorld(choices);
	const scenario = make();
	scenario.play(world);
	await world.run();
	scenario.judge(world);
	return world;
}

/**
 * Plays one seed; a failing run is made smaller.
 *
 * @param make - Makes a fresh scenario.
 * @param seed - Any whole number.
 * @returns The failing run, or nothing.
 */
export async function playSeed(make: MakeScenario, seed: number): Promise<FailingRun | undefined> {
	const choices = Choices.fromSeed(seed);
	const world = await playRun(make, choices);
	if (world.violations.length === 0) {
		return undefined;
	}

	const small = await shrink(make, choices.taken);
	return {
		scenario: make().name, seed, violations: small.violations, trace: small.trace,
	};
}

/** Replaces ever smaller stretches of choices by 0 while the run still fails. */
async function shrink(make: MakeScenario, taken: readonly number[]): Promise<VirtualWorld> {
	let choices = taken;
	let world = await playRun(make, Choices.replay(choices));
	let rounds = 0;
	for (let width = choices.length; width >= 1; width = Math.floor(width / 2)) {
		for (let from = 0; from < choices.length && rounds < shrinkRounds; from += width) {
			const candidate = withoutStretch(choices, from, from + width);
			const tried = await playRun(make, Choices.replay(candidate));
			rounds++;
			if (tried.violations.length > 0) {
				choices = candidate;
				world = tried;
			}
		}
	}

	return world;
}

function withoutStretch(choices: readonly number[], from: number, end: number): number[] {
	return choices.map((choice, index) => index >= from && index < end ? 0 : choice);
}
