/**
 * Remembers which endpoints have ended a connection of this instance lately while it was idle or new.
 *
 * An endpoint that resets idle connections, or that is full, may reset the next one just as a request is written to it, and
 * it is then unknown whether the request has run. Such an endpoint is not preferred for its connections until it has ended none
 * for a while.
 */

/** How long an endpoint is not preferred: the connections of a full endpoint come and go with its requests. */
const distrustMilliseconds = 5000;
/** How many endpoints are remembered; the earliest is dropped first. */
const maxEndpoints = 1000;

export class EndedConnections {
	/** By address, in milliseconds of the steady clock. */
	readonly #endedAt = new Map<string, number>();

	/** Records that an endpoint has ended a connection that served no request. */
	noteEnded(address: string, now: number): void {
		this.#endedAt.delete(address);
		this.#endedAt.set(address, now);
		if (this.#endedAt.size > maxEndpoints) {
			this.#endedAt.delete(this.#endedAt.keys().next().value!);
		}
	}

	/** Whether an endpoint has ended such a connection lately. */
	hasEnded(address: string, now: number): boolean {
		const at = this.#endedAt.get(address);
		return at !== undefined && now - at < distrustMilliseconds;
	}
}
