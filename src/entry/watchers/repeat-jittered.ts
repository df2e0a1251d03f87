import {type Clock} from '../../ports/clock.js';

/** Share of the pause that is drawn anew each time. */
const jitter = 0.2;

/** How often work is repeated. */
export type JitteredPace = {
	clock: Clock;
	/** The longest pause. */
	milliseconds: number;
	/** Gives numbers from 0 up to 1, from a seeded generator. */
	random: () => number;
};

/**
 * Repeats work with pauses until the signal aborts.
 *
 * The pauses vary, so that instances that started together, or waited for the same outage to end, do not ask in step.
 *
 * @param pace - How often.
 * @param signal - Ends it.
 * @param work - What is done; the pause begins when it is over.
 */
export async function repeatJittered({clock, milliseconds, random}: JitteredPace, signal: AbortSignal, work: () => Promise<void>): Promise<void> {
	while (!signal.aborted) {
		await work();
		await clock.sleep(milliseconds * (1 - (jitter * random())), signal);
	}
}
