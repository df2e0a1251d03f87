/**
 * Limits how much of the work may be retried.
 *
 * Endpoints may fail while there is much to do. Without a limit each prompt that fails is run up to four times, the load
 * on the remaining endpoints grows fourfold just when they have the least capacity, and an outage lasts until callers
 * cancel. A budget as a share of first attempts limits the growth to a fifth in every case. Each workspace has its own
 * budget, so that one caller's prompts that always fail cannot use up the retries of others; each endpoint has one too,
 * so that an endpoint that fails everything cannot cause a flood of retries.
 */

/** Retries per first attempt in the long run. */
export const retriesPerAttempt = 0.2;
/** Maximum number of retries that a workspace saves up: enough for the streams that it has at one endpoint which fails. */
export const workspaceReserve = 20;
/** Maximum number of retries that are saved up for one endpoint's failures: two full batches. */
export const endpointReserve = 40;
/** Budgets that are remembered; the least recently used is forgotten, and is full when it is used again. */
const budgetLimit = 4000;

export class RetryBudget {
	readonly #remaining = new Map<string, number>();

	/** Counts a first attempt. */
	countAttempt(workspace: string, endpoint: string): void {
		this.#add(`workspace ${workspace}`, retriesPerAttempt, workspaceReserve);
		this.#add(`endpoint ${endpoint}`, retriesPerAttempt, endpointReserve);
	}

	/**
	 * Takes a retry out of both budgets, if both have one.
	 *
	 * @param workspace - Whose prompt it is.
	 * @param endpoint - The endpoint that failed it.
	 * @returns False if the prompt must not be retried now.
	 */
	takeRetry(workspace: string, endpoint: string): boolean {
		const workspaceKey = `workspace ${workspace}`;
		const endpointKey = `endpoint ${endpoint}`;
		const isAvailable = (this.#remaining.get(workspaceKey) ?? workspaceReserve) >= 1 && (this.#remaining.get(endpointKey) ?? endpointReserve) >= 1;
		if (isAvailable) {
			this.#add(workspaceKey, -1, workspaceReserve);
			this.#add(endpointKey, -1, endpointReserve);
		}

		return isAvailable;
	}

	#add(key: string, change: number, reserve: number): void {
		const remaining = Math.min(reserve, (this.#remaining.get(key) ?? reserve) + change);
		this.#remaining.delete(key);
		this.#remaining.set(key, remaining);
		if (this.#remaining.size > budgetLimit) {
			this.#remaining.delete(this.#remaining.keys().next().value!);
		}
	}
}
