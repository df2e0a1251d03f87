/** The permits that the coordinator grants for endpoints with a limit, one bucket for each incarnation of an endpoint. */
import {PermitBucket} from '../../decision/limits/permit-bucket.js';

/** How many buckets are kept; the one that was used longest ago is dropped first. */
const maxBuckets = 1000;

export class PermitGrants {
	readonly #buckets = new Map<string, PermitBucket>();

	/**
	 * Grants one request to an endpoint, or refuses it.
	 *
	 * @param incarnation - Identifies the incarnation of the endpoint.
	 * @param limitPerSecond - The limit that it has named.
	 * @param now - Milliseconds of the steady clock.
	 */
	grant(incarnation: string, limitPerSecond: number, now: number): boolean {
		// A new coordinator does not know what its predecessor has granted, so a bucket starts empty.
		const bucket = this.#buckets.get(incarnation) ?? new PermitBucket(0, now);
		this.#buckets.delete(incarnation);
		this.#buckets.set(incarnation, bucket);
		if (this.#buckets.size > maxBuckets) {
			this.#buckets.delete(this.#buckets.keys().next().value!);
		}

		return bucket.take(limitPerSecond, now);
	}
}
