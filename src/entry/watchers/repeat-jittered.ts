import {type Clock} from '../../ports/clock.js';

/** The largest share of the interval by which a pause is shortened at random. */
const jitter = 0.2;

/** The interval at which work is repeated. */
export type JitteredInterval = {
	clock: Clock;
	/** The longest pause. */
	milliseconds: number;
	/** Returns numbers from 0 up to 1, from a seeded generator. */
	random: () => number;
};

/**
 * Repeats work with pauses until the signal aborts.
 *
 * The pauses vary, so that instances that started together, or that waited for the same outage to end, do not send their
 * requests at the same times.
 *
 * @param interval - The interval, its clock and the source of its jitter.
 * @param signal - Ends the repetition.
 * @param work - The work to repeat; the pause begins when it has finished.
 */
export async function repeatJittered({clock, milliseconds, random}: JitteredInterval, signal: AbortSignal, work: () => Promise<void>): Promise<void> {
	while (!signal.aborted) {
		await work();
		await clock.sleep(milliseconds * (1 - (jitter * random())), signal);
	}
}
