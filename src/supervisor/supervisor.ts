/**
 * A supervisor tree: each supervisor runs named, long-lived children and restarts those that fail. If the children fail too
 * often within a period, the supervisor fails too, and its parent restarts it. If the root supervisor fails, the process ends
 * and the platform replaces the instance.
 */
import {setMaxListeners} from 'node:events';

/** A long-lived component. `run` resolves after the signal aborts; if it rejects or resolves earlier, the child has failed. */
export interface Child {
	readonly name: string;
	run(signal: AbortSignal): Promise<void>;
}

/** `one-for-one` restarts the child that failed; `one-for-all` restarts all children of the supervisor. */
export type RestartStrategy = 'one-for-one' | 'one-for-all';

/** The maximum number of restarts of all children together within a period. */
export type RestartIntensity = {
	restarts: number;
	periodMilliseconds: number;
};

/** A failure of a child: it is restarted, or the supervisor fails (`gave-up`). */
export type SupervisorEvent = {
	child: string;
	kind: 'restarted' | 'gave-up';
	error: unknown;
};

export type SupervisorOptions = {
	name: string;
	strategy: RestartStrategy;
	intensity: RestartIntensity;
	children: readonly Child[];
	now(): number;
	report(event: SupervisorEvent): void;
};

/** Thrown if the children of a supervisor fail more often than its intensity allows. */
export class RestartIntensityError extends Error {
	override readonly name = 'RestartIntensityError';

	constructor(supervisor: string, override readonly cause: unknown) {
		super(`the children of ${supervisor} failed too often`);
	}
}

export class Supervisor implements Child {
	readonly name: string;
	readonly #options: SupervisorOptions;
	#restartedAt: number[] = [];

	constructor(options: SupervisorOptions) {
		this.name = options.name;
		this.#options = options;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const round = new AbortController();
			// Each waiting child adds a listener, and more than ten would make Node warn of a leak.
			setMaxListeners(0, round.signal);
			const stop = (): void => {
				round.abort();
			};

			signal.addEventListener('abort', stop, {once: true});
			try {
				await Promise.all(this.#options.children.map(async child => this.#keepRunning(child, round.signal)));
			} catch (error) {
				// Either all children restart or this supervisor fails, so the other children are aborted.
				round.abort();
				if (error instanceof RestartIntensityError) {
					throw error;
				}
			} finally {
				signal.removeEventListener('abort', stop);
			}
		}
	}

	async #keepRunning(child: Child, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const error = await failureOf(child, signal);
			if (signal.aborted) {
				return;
			}

			this.#countRestart(child, error, this.#options.now());
			this.#options.report({child: child.name, kind: 'restarted', error});
			if (this.#options.strategy === 'one-for-all') {
				throw error;
			}
		}
	}

	#countRestart(child: Child, error: unknown, now: number): void {
		const {restarts, periodMilliseconds} = this.#options.intensity;
		this.#restartedAt = [...this.#restartedAt.filter(at => at > now - periodMilliseconds), now];
		if (this.#restartedAt.length > restarts) {
			this.#options.report({child: child.name, kind: 'gave-up', error});
			throw new RestartIntensityError(this.name, error);
		}
	}
}

async function failureOf(child: Child, signal: AbortSignal): Promise<Error> {
	try {
		await child.run(signal);
		return new Error(`${child.name} ended before it was stopped`);
	} catch (error) {
		return error instanceof Error ? error : new Error(String(error));
	}
}
