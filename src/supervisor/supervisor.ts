/**
 * A supervisor tree: long-lived children, each with a name, restarted when they fail. A child that fails too often
 * within a period fails its supervisor, which is the child of the next one up; at the root the process ends, and the
 * platform replaces the instance.
 */
import {setMaxListeners} from 'node:events';

/** A long-lived part. `run` resolves once the signal aborts; if it throws or resolves sooner, the child has failed. */
export interface Child {
	readonly name: string;
	run(signal: AbortSignal): Promise<void>;
}

/** `one-for-one` restarts the child that failed; `one-for-all` restarts all children of the supervisor. */
export type RestartStrategy = 'one-for-one' | 'one-for-all';

/** At most `restarts` in `periodMilliseconds`. */
export type RestartIntensity = {
	restarts: number;
	periodMilliseconds: number;
};

/** What a supervisor tells of its children. */
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

/** Thrown when a supervisor's children failed more often than its intensity allows. */
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
			// Every child listens while it waits for something; there may be more of them than Node takes for a leak.
			setMaxListeners(0, round.signal);
			const stop = (): void => {
				round.abort();
			};

			signal.addEventListener('abort', stop, {once: true});
			try {
				await Promise.all(this.#options.children.map(async child => this.#keepRunning(child, round.signal)));
			} catch (error) {
				// Thrown only to restart all, or to give up: the other children end before either happens.
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
		return new Error(`${child.name} ended by itself`);
	} catch (error) {
		return error instanceof Error ? error : new Error(String(error));
	}
}
