/** The clock of the machine. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock} from '../ports/clock.js';

export const systemClock: Clock = {
	now: () => Date.now(),
	async sleep(milliseconds, signal) {
		try {
			await delay(milliseconds, undefined, {signal});
		} catch {
			// An aborted sleep ends early; that is its purpose.
		}
	},
};
