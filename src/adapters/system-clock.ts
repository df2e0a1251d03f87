/** The system clock, in milliseconds since the epoch. */
import {type Clock} from '../ports/clock.js';

export const systemClock: Clock = {
	now: () => Date.now(),
	// Not `setTimeout` of node:timers/promises, which rejects an aborted sleep with a new error: with one sleep per stream,
	// the errors and their stack traces took more of the data path's time than the text of the streams.
	async sleep(milliseconds, signal) {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				signal.removeEventListener('abort', end);
				resolve();
			};

			const timer = setTimeout(end, milliseconds);
			signal.addEventListener('abort', end);
		});
	},
};
