/** The clock of the machine. */
import {type Clock} from '../ports/clock.js';

export const systemClock: Clock = {
	now: () => Date.now(),
	// The promise of node:timers rejects an aborted sleep with a fresh error; with a sleep for every stream, those errors
	// and their stack traces took more of the data path's time than the streams' text.
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
