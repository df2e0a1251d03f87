/** The callers that wait for the answers to queries, each for a limited time. */
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type CoordinatorFrame} from './coordinator-messages.js';

export class AnswerWaiters {
	readonly #waiters = new Map<number, (answer: CoordinatorFrame | undefined) => void>();

	/**
	 * Waits for an answer.
	 *
	 * @param number - Number of the query.
	 * @param milliseconds - How long to wait.
	 * @returns `undefined` if it did not arrive in time.
	 */
	async wait(number: number, milliseconds: number): Promise<CoordinatorFrame | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				void this.#resumeUnanswered(number);
			}, milliseconds);
			this.#waiters.set(number, answer => {
				clearTimeout(timer);
				resolve(answer);
			});
		});
	}

	/** Whether a caller waits for the answer to a query. */
	has(number: number): boolean {
		return this.#waiters.has(number);
	}

	/** Resumes the caller that waits for the answer to a query, if there is one. */
	resume(number: number, answer: CoordinatorFrame | undefined): void {
		const resume = this.#waiters.get(number);
		this.#waiters.delete(number);
		resume?.(answer);
	}

	/** Resumes all callers without an answer. */
	resumeAll(): void {
		for (const number of this.#waiters.keys()) {
			this.resume(number, undefined);
		}
	}

	/** Reads what arrived while this process was paused first. */
	async #resumeUnanswered(number: number): Promise<void> {
		await afterNextPoll();
		this.resume(number, undefined);
	}
}
