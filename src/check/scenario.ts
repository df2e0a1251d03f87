/** Runs scenarios with random choices from seeds, and shrinks a failing run to a smaller one that still fails. */
import {Choices} from './choices.js';
import {FaultSimulation} from './simulation.js';

/** One kind of run. `start` starts the processes; violations are reported to the simulation. */
export type Scenario = {
	name: string;
	start(simulation: FaultSimulation): void;
	/** Checks the final state, after the last scheduled event. */
	verify(simulation: FaultSimulation): void;
};

/** A run with violations, after it was shrunk. */
export type FailingRun = {
	scenario: string;
	seed: number;
	violations: string[];
	trace: string[];
};

type ScenarioFactory = () => Scenario;

const maxShrinkRounds = 400;

/**
 * Runs a scenario once.
 *
 * @param createScenario - Creates a new scenario.
 * @param choices - The choices of the run.
 * @returns The simulation after its last event.
 */
export async function runOnce(createScenario: ScenarioFactory, choices: Choices): Promise<FaultSimulation> {
	const simulation = new FaultSimulation(choices);
	const scenario = createScenario();
	scenario.start(simulation);
	await simulation.run();
	scenario.verify(simulation);
	return simulation;
}

/**
 * Runs a scenario with one seed, and shrinks the run if it fails.
 *
 * @param createScenario - Creates a new scenario.
 * @param seed - Any integer.
 * @returns The shrunk failing run, or `undefined` if there was no violation.
 */
export async function runSeed(createScenario: ScenarioFactory, seed: number): Promise<FailingRun | undefined> {
	const choices = Choices.fromSeed(seed);
	const simulation = await runOnce(createScenario, choices);
	if (simulation.violations.length === 0) {
		return undefined;
	}

	const shrunk = await shrink(createScenario, choices.made);
	return {
		scenario: createScenario().name, seed, violations: shrunk.violations, trace: shrunk.trace,
	};
}

/** Replaces shorter and shorter ranges of choices by 0 as long as the run still fails. */
async function shrink(createScenario: ScenarioFactory, recorded: readonly number[]): Promise<FaultSimulation> {
	let choices = recorded;
	let simulation = await runOnce(createScenario, Choices.replay(choices));
	let rounds = 0;
	for (let width = choices.length; width >= 1; width = Math.floor(width / 2)) {
		for (let from = 0; from < choices.length && rounds < maxShrinkRounds; from += width) {
			const candidate = zeroRange(choices, from, from + width);
			const candidateRun = await runOnce(createScenario, Choices.replay(candidate));
			rounds++;
			if (candidateRun.violations.length > 0) {
				choices = candidate;
				simulation = candidateRun;
			}
		}
	}

	return simulation;
}

function zeroRange(choices: readonly number[], from: number, end: number): number[] {
	return choices.map((choice, index) => index >= from && index < end ? 0 : choice);
}
