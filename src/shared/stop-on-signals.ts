import process from 'node:process';

/**
 * Ends the process in order when it is told to.
 *
 * @param stop - Finishes what the process has; it exits when that resolves. A second signal is not waited for.
 */
export function stopOnSignals(stop: () => Promise<void>): void {
	const end = async (): Promise<void> => {
		await stop();
		process.exit(0); // eslint-disable-line unicorn/no-process-exit -- Only the programs' main modules call this.
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void end();
		});
	}
}
