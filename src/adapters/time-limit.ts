import {afterNextPoll} from '../serving/after-next-poll.js';

/**
 * Starts the timer of a call's time limit.
 *
 * Timers run before sockets are read. After a pause of this process that is longer than the limit, `AbortSignal.timeout` would
 * drop an answer that arrived in time and lies unread in its socket. Here the sockets are polled once more before the call ends.
 *
 * @param milliseconds - The limit, from now on.
 * @param onTimeout - Called with the error that ends the call. It may still be called after the timer has been cleared, if the
 *   call ends while the sockets are polled.
 * @returns The timer, which must be cleared when the call has ended.
 */
export function startTimeout(milliseconds: number, onTimeout: (error: DOMException) => void): NodeJS.Timeout {
	const expire = async (): Promise<void> => {
		await afterNextPoll();
		onTimeout(new DOMException('The operation was aborted due to timeout', 'TimeoutError'));
	};

	return setTimeout(() => {
		void expire();
	}, milliseconds).unref();
}
