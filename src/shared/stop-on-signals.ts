import process from 'node:process';

/**
 * Stops the process gracefully on SIGTERM or SIGINT.
 *
 * @param stop - Finishes the process's work; the process exits when it resolves. A second signal of the same kind ends the
 * process at once.
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
