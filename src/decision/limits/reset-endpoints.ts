/**
 * Remembers which endpoints have reset new connections lately, and decides how long to wait before a request is written to a new
 * connection there.
 *
 * A full endpoint accepts a connection and resets it. A request that was written meanwhile may have run, as far as anyone can tell:
 * it takes a retry, and one that may run once has no other attempt. If the reset comes first, nothing was sent.
 */

/** How long an endpoint is taken for full: its connections come and go with its requests. */
const fullMilliseconds = 5000;
/** The reset follows within a round trip, which the connection attempt has measured, and the time to accept the connection. */
const roundTrips = 2;
const minSettleMilliseconds = 10;
const maxSettleMilliseconds = 100;
/** How many endpoints are remembered; the earliest is dropped first. */
const maxEndpoints = 1000;

export class ResetEndpoints {
	/** By address, in milliseconds of the steady clock. */
	readonly #resetAt = new Map<string, number>();

	/** Records that an endpoint has reset a new connection. */
	noteReset(address: string, now: number): void {
		this.#resetAt.delete(address);
		this.#resetAt.set(address, now);
		if (this.#resetAt.size > maxEndpoints) {
			this.#resetAt.delete(this.#resetAt.keys().next().value!);
		}
	}

	/**
	 * How long a new connection is watched before a request is written to it, in milliseconds.
	 *
	 * @param connectMilliseconds - How long it took to be established.
	 */
	settleMilliseconds(address: string, connectMilliseconds: number, now: number): number {
		const isFull = now - (this.#resetAt.get(address) ?? Number.NEGATIVE_INFINITY) < fullMilliseconds;
		return isFull ? Math.min(maxSettleMilliseconds, Math.max(minSettleMilliseconds, roundTrips * connectMilliseconds)) : 0;
	}
}
