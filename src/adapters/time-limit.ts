import {afterNextPoll} from '../serving/after-next-poll.js';

/** The time limit of one call: a signal that aborts the call, and `clear` for its end. */
export type TimeLimit = {
	signal: AbortSignal;
	clear(): void;
};

/**
 * Starts the time limit of a call.
 *
 * Timers run before sockets are read. After a pause of this process that is longer than the limit, `AbortSignal.timeout` would
 * drop an answer that arrived in time and lies unread in its socket. Here the sockets are polled once more before the abort.
 *
 * @param milliseconds - The limit, from now on.
 * @returns The limit, which must be cleared when the call has ended.
 */
export function startTimeLimit(milliseconds: number): TimeLimit {
	const controller = new AbortController();
	const abort = async (): Promise<void> => {
		await afterNextPoll();
		controller.abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError'));
	};

	const timer = setTimeout(() => {
		void abort();
	}, milliseconds).unref();
	return {
		signal: controller.signal,
		clear() {
			clearTimeout(timer);
		},
	};
}
