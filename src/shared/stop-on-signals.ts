import process from 'node:process';

/** The part of a process that signals reach. */
export type SignalTarget = Pick<NodeJS.Process, 'on' | 'exit'>;

/**
 * Stops the process gracefully on SIGTERM or SIGINT.
 *
 * What stops a service may send SIGTERM more than once; that must not end requests which the first one lets finish. A second SIGINT
 * comes from a person who does not want to wait.
 *
 * @param stop - Finishes the process's work; the process exits when it resolves. A second SIGINT ends the process at once.
 * @param target - The process.
 */
export function stopOnSignals(stop: () => Promise<void>, target: SignalTarget = process): void {
	let stopping: Promise<void> | undefined;
	const end = async (): Promise<void> => {
		await stop();
		target.exit(0);
	};

	target.on('SIGTERM', () => {
		stopping ??= end();
	});
	let interrupts = 0;
	target.on('SIGINT', () => {
		interrupts++;
		stopping ??= end();
		if (interrupts > 1) {
			target.exit(130);
		}
	});
}
