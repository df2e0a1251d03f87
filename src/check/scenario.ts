/** Runs scenarios with random choices from seeds, and shrinks a failing run to a smaller one that still fails. */
import {Choices} from './choices.js';
import {VirtualWorld} from './virtual-world.js';

/** One kind of run. `start` starts the processes; violations are reported to the simulation. */
export type Scenario = {
	name: string;
	play(world: VirtualWorld): void;
	/** Checks the final state, after the last scheduled event. */
	judge(world: VirtualWorld): void;
};

/** A run with violations, after it was shrunk. */
export type FailingRun = {
	scenario: string;
	seed: number;
	violations: string[];
	trace: string[];
};

type MakeScenario = () => Scenario;

const shrinkRounds = 400;

/**
 * Runs a scenario once.
 *
 * @param make - Creates a new scenario.
 * @param choices - The choices of the run.
 * @returns The simulation after its last event.
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
 * Runs a scenario with one seed, and shrinks the run if it fails.
 *
 * @param make - Creates a new scenario.
 * @param seed - Any integer.
 * @returns The shrunk failing run, or `undefined` if there was no violation.
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

/** Replaces shorter and shorter ranges of choices by 0 as long as the run still fails. */
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
