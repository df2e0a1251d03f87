/**
 * Bounds the claims of one instance, so that a surge of calls or a slow table is answered by refusals at once instead of
 * a pile of waiting calls.
 *
 * The sum: the table takes several hundred writes a second; 400 are counted on. A claim costs three (claimed, sending,
 * recorded) and a repeat or a lost answer a few more, so a quarter is kept back: 300 / 3 = 100 claims a second for all
 * instances together. Each instance gets an equal share with a burst of two seconds, since the balancer spreads callers
 * evenly but not at every moment.
 */
import {type Refusal} from '../../shared/types.js';

/** Claims a second that all instances together may begin, unless the limit `claims-per-second` is declared. */
export const defaultClaimsPerSecond = 100;
const burstSeconds = 2;
const leastBurstClaims = 4;
const openLimit = 64;
const suspectMilliseconds = 1000;

/** The part of a refusal that the budget decides. */
export type BudgetRefusal = Refusal & {reason: 'claim-rate' | 'platform-unavailable'};

export class ClaimBudget {
	#tokens = leastBurstClaims;
	#refilledAt = 0;
	#open = 0;
	#suspectUntil = 0;

	/**
	 * Asks to begin a claim.
	 *
	 * @param share - How many live entry instances share the table, at least 1, and the claims a second that all of them
	 * together may begin.
	 * @param now - Milliseconds since the epoch.
	 * @returns Nothing if it may begin (then `leave` follows), or the refusal; the call was not sent.
	 */
	enter(share: {instances: number; claimsPerSecond: number}, now: number): BudgetRefusal | undefined {
		// With the table silent each call would wait for its time-out, and callers would pile up behind it. One call a
		// second finds out whether it is back; all others are told at once.
		if (now < this.#suspectUntil) {
			return refusalOf('platform-unavailable', 'the platform\'s table does not answer; the call was not sent', this.#suspectUntil - now);
		}

		const perSecond = share.claimsPerSecond / Math.max(1, share.instances);
		this.#refill(perSecond, now);
		if (this.#open >= openLimit || this.#tokens < 1) {
			return refusalOf('claim-rate', 'too many calls that may not run twice; the call was not sent', 1000 / perSecond);
		}

		this.#tokens--;
		this.#open++;
		this.#suspectUntil = this.#suspectUntil === 0 ? 0 : now + suspectMilliseconds;
		return undefined;
	}

	/** A claim that had begun is over. */
	leave(): void {
		this.#open--;
	}

	/** The table answered, or did not. */
	observe(answered: boolean, now: number): void {
		this.#suspectUntil = answered ? 0 : now + suspectMilliseconds;
	}

	#refill(perSecond: number, now: number): void {
		const most = Math.max(leastBurstClaims, perSecond * burstSeconds);
		const gained = this.#refilledAt === 0 ? most : (now - this.#refilledAt) * perSecond / 1000;
		this.#tokens = Math.min(most, this.#tokens + gained);
		this.#refilledAt = now;
	}
}

function refusalOf(reason: BudgetRefusal['reason'], message: string, retryAfterMilliseconds: number): BudgetRefusal {
	return {
		reason, ran: 'not-run', message, retryAfterMilliseconds: Math.max(1000, Math.ceil(retryAfterMilliseconds)),
	};
}
