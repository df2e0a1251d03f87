/**
 * Limits the rate and the concurrency of the claims of one instance, so that a surge of calls or a slow table leads to
 * immediate refusals and not to a queue of waiting calls.
 *
 * The default rate assumes that the table accepts 400 writes per second. A claim costs three writes (`claimed`, `sending`,
 * `recorded`), and a duplicate call or a lost answer a few more, so a quarter is reserved: 300 / 3 = 100 claims per second
 * for all instances together. Each instance gets an equal share with a burst of two seconds, because the load balancer
 * distributes callers evenly only on average.
 */
import {type Refusal} from '../../shared/types.js';

/** Claims per second that all instances together may start, unless the limit `claims-per-second` is declared. */
export const defaultClaimsPerSecond = 100;
const burstSeconds = 2;
const minBurstClaims = 4;
const maxOpenClaims = 64;
const tableRetryMilliseconds = 1000;

/** A refusal by the budget. */
export type BudgetRefusal = Refusal & {reason: 'claim-rate' | 'platform-unavailable'};

export class ClaimBudget {
	#tokens = minBurstClaims;
	#refilledAt = 0;
	#openClaims = 0;
	#tableDownUntil = 0;

	/**
	 * Admits a claim or refuses it.
	 *
	 * @param share - The number of live entry instances that share the table, at least 1, and the claims per second that all
	 * of them together may start.
	 * @param now - Milliseconds since the epoch.
	 * @returns `undefined` if the claim is admitted, in which case `release` must be called at its end; otherwise the refusal
	 * of the call, which was not sent.
	 */
	acquire(share: {instances: number; claimsPerSecond: number}, now: number): BudgetRefusal | undefined {
		// While the table does not answer, each call would wait for its timeout and calls would queue up. One call per second
		// is admitted as a probe; all others are refused at once.
		if (now < this.#tableDownUntil) {
			return refusalOf('platform-unavailable', 'the platform\'s table does not answer; the call was not sent', this.#tableDownUntil - now);
		}

		const perSecond = share.claimsPerSecond / Math.max(1, share.instances);
		this.#refill(perSecond, now);
		if (this.#openClaims >= maxOpenClaims || this.#tokens < 1) {
			return refusalOf('claim-rate', 'too many non-idempotent calls; the call was not sent', 1000 / perSecond);
		}

		this.#tokens--;
		this.#openClaims++;
		this.#tableDownUntil = this.#tableDownUntil === 0 ? 0 : now + tableRetryMilliseconds;
		return undefined;
	}

	/** Ends an admitted claim. */
	release(): void {
		this.#openClaims--;
	}

	/**
	 * Records the result of a call to the table.
	 *
	 * @param answered - Whether the table answered.
	 * @param now - Milliseconds since the epoch.
	 */
	recordTableAnswer(answered: boolean, now: number): void {
		this.#tableDownUntil = answered ? 0 : now + tableRetryMilliseconds;
	}

	#refill(perSecond: number, now: number): void {
		const burst = Math.max(minBurstClaims, perSecond * burstSeconds);
		const refilled = this.#refilledAt === 0 ? burst : (now - this.#refilledAt) * perSecond / 1000;
		this.#tokens = Math.min(burst, this.#tokens + refilled);
		this.#refilledAt = now;
	}
}

function refusalOf(reason: BudgetRefusal['reason'], message: string, retryAfterMilliseconds: number): BudgetRefusal {
	return {
		reason, ran: 'not-run', message, retryAfterMilliseconds: Math.max(1000, Math.ceil(retryAfterMilliseconds)),
	};
}
