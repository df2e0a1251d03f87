/** The permits that the coordinator grants for endpoints with a limit, one bucket for each incarnation of an endpoint. */
import {PermitBucket} from '../../decision/limits/permit-bucket.js';
import {type PermitAnswer, type PermitQuery} from './coordinator-messages.js';

/** How many buckets, limits and ends are kept; the one that was used longest ago is dropped first. */
const maxEndpoints = 5000;

/** A limit by the last answer that named it at any instance; `namedAt` is in milliseconds of the steady clock. */
type NamedLimit = {limitPerSecond: number; namedAt: number};

export class PermitGrants {
	readonly #buckets = new Map<string, PermitBucket>();
	readonly #limits = new Map<string, NamedLimit>();
	/** When the request was sent whose answer ended a limit, by incarnation; in milliseconds of the steady clock. */
	readonly #ends = new Map<string, number>();

	/**
	 * Answers a question for one request to an endpoint. The latest answer of the endpoint counts: a limit that another
	 * instance has seen to end or to change since is over, and one that was named after its end holds again.
	 *
	 * @param query - The question, or the report that a limit has ended.
	 * @param now - Milliseconds of the steady clock.
	 */
	answer({kind = 'limit', incarnation: name, limitPerSecond, answeredMilliseconds, maxUnused}: PermitQuery, now: number): PermitAnswer {
		// An endpoint that warms up may have named a limit as well.
		const incarnation = `${kind}|${name}`;
		const answeredAt = now - answeredMilliseconds;
		if (limitPerSecond === null) {
			if (answeredAt >= (this.#limits.get(incarnation)?.namedAt ?? Number.NEGATIVE_INFINITY)) {
				remember(this.#ends, incarnation, answeredAt);
			}

			return 'unlimited';
		}

		if (answeredAt < (this.#ends.get(incarnation) ?? Number.NEGATIVE_INFINITY)) {
			return 'unlimited';
		}

		this.#ends.delete(incarnation);
		const latest = this.#latestLimit(incarnation, {limitPerSecond, namedAt: answeredAt});
		remember(this.#limits, incarnation, latest);
		// A new coordinator does not know what its predecessor has granted, so a bucket starts empty.
		const bucket = this.#buckets.get(incarnation) ?? new PermitBucket(0, now);
		remember(this.#buckets, incarnation, bucket);
		return bucket.take(latest.limitPerSecond, now, maxUnused) ? 'granted' : 'denied';
	}

	#latestLimit(incarnation: string, named: NamedLimit): NamedLimit {
		const known = this.#limits.get(incarnation);
		return known === undefined || named.namedAt >= known.namedAt ? named : known;
	}
}

function remember<Entry>(map: Map<string, Entry>, incarnation: string, entry: Entry): void {
	map.delete(incarnation);
	map.set(incarnation, entry);
	if (map.size > maxEndpoints) {
		map.delete(map.keys().next().value!);
	}
}
