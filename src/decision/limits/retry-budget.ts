/**
 * How much of the work may be repeated.
 *
 * Load it answers: endpoints that fail while there is much to do. Without it each prompt that breaks off is run up to
 * four times, the load on what is left grows fourfold just when it has least room, and an outage lasts until callers
 * give up. A budget in share of first attempts keeps the growth to a fifth, whatever happens. One caller's prompts that
 * always break cannot use up the others' repeats, since each workspace has its own budget; an endpoint that breaks
 * everything cannot make a flood of repeats, since its repeats have a budget too.
 */

/** Repeats per first attempt in the long run. */
export const repeatsPerAttempt = 0.2;
/** Repeats saved at most by a workspace: enough for the streams that it has at one endpoint which dies. */
export const workspaceReserve = 20;
/** Repeats saved at most for one endpoint's failures: two full batches. */
export const endpointReserve = 40;
/** Budgets that are remembered; the least recently used is forgotten, and starts full again. */
const budgetLimit = 4000;

export class RetryBudget {
	readonly #left = new Map<string, number>();

	/** Takes a first attempt. */
	attempted(workspace: string, endpoint: string): void {
		this.#add(`workspace ${workspace}`, repeatsPerAttempt, workspaceReserve);
		this.#add(`endpoint ${endpoint}`, repeatsPerAttempt, endpointReserve);
	}

	/**
	 * Takes a repeat out of both budgets, if both have one.
	 *
	 * @param workspace - Whose prompt it is.
	 * @param endpoint - The endpoint that failed it.
	 * @returns False if the prompt must not be repeated now.
	 */
	takeRepeat(workspace: string, endpoint: string): boolean {
		const workspaceKey = `workspace ${workspace}`;
		const endpointKey = `endpoint ${endpoint}`;
		const isLeft = (this.#left.get(workspaceKey) ?? workspaceReserve) >= 1 && (this.#left.get(endpointKey) ?? endpointReserve) >= 1;
		if (isLeft) {
			this.#add(workspaceKey, -1, workspaceReserve);
			this.#add(endpointKey, -1, endpointReserve);
		}

		return isLeft;
	}

	#add(key: string, change: number, reserve: number): void {
		const left = Math.min(reserve, (this.#left.get(key) ?? reserve) + change);
		this.#left.delete(key);
		this.#left.set(key, left);
		if (this.#left.size > budgetLimit) {
			this.#left.delete(this.#left.keys().next().value!);
		}
	}
}
