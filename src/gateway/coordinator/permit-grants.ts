/** The permits that the coordinator grants for endpoints with a limit, one bucket for each incarnation of an endpoint. */
import {PermitBucket} from '../../decision/limits/permit-bucket.js';
import {type PermitAnswer, type PermitQuery} from './coordinator-messages.js';

/** How many buckets and ends are kept; the one that was used longest ago is dropped first. */
const maxEndpoints = 1000;

export class PermitGrants {
	readonly #buckets = new Map<string, PermitBucket>();
	/**
	 * When the last answer that named a limit arrived at any instance, by incarnation; in milliseconds of the steady clock.
	 */
	readonly #named = new Map<string, number>();
	/** When the request was sent whose answer ended a limit, by incarnation; in milliseconds of the steady clock. */
	readonly #ends = new Map<string, number>();

	/**
	 * Answers a question for one request to an endpoint. The latest answer of the endpoint counts: a limit that another
	 * instance has seen to end since is over, and one that was named after its end holds again.
	 *
	 * @param query - The question, or the report that a limit has ended.
	 * @param now - Milliseconds of the steady clock.
	 */
	answer({incarnation, limitPerSecond, answeredMilliseconds}: PermitQuery, now: number): PermitAnswer {
		const answeredAt = now - answeredMilliseconds;
		if (limitPerSecond === null) {
			if (answeredAt >= (this.#named.get(incarnation) ?? Number.NEGATIVE_INFINITY)) {
				remember(this.#ends, incarnation, answeredAt);
			}

			return 'unlimited';
		}

		if (answeredAt < (this.#ends.get(incarnation) ?? Number.NEGATIVE_INFINITY)) {
			return 'unlimited';
		}

		this.#ends.delete(incarnation);
		remember(this.#named, incarnation, Math.max(answeredAt, this.#named.get(incarnation) ?? answeredAt));
		// A new coordinator does not know what its predecessor has granted, so a bucket starts empty.
		const bucket = this.#buckets.get(incarnation) ?? new PermitBucket(0, now);
		remember(this.#buckets, incarnation, bucket);
		return bucket.take(limitPerSecond, now) ? 'granted' : 'denied';
	}
}

function remember<Entry>(map: Map<string, Entry>, incarnation: string, entry: Entry): void {
	map.delete(incarnation);
	map.set(incarnation, entry);
	if (map.size > maxEndpoints) {
		map.delete(map.keys().next().value!);
	}
}
