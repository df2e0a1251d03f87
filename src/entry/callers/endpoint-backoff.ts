/**
 * Endpoints that are excluded for a time because they answered with Retry-After. Such an engine is full, and sending to it
 * again immediately would cost the engine work and the caller a round trip.
 */
export class EndpointBackoff {
	readonly #until = new Map<string, number>();

	/** Excludes an endpoint until a time, in milliseconds since the epoch. */
	backOff(endpoint: string, until: number): void {
		this.#until.set(endpoint, until);
	}

	/** True if no endpoint is recorded as excluded. */
	get isEmpty(): boolean {
		return this.#until.size === 0;
	}

	/** Returns whether an endpoint is excluded now. */
	isBackingOff(endpoint: string, now: number): boolean {
		const until = this.#until.get(endpoint);
		if (until !== undefined && until <= now) {
			this.#until.delete(endpoint);
		}

		return until !== undefined && until > now;
	}

	/** Returns the milliseconds until the first of these endpoints may be used again; `undefined` if none is excluded. */
	shortestRemainingMilliseconds(endpoints: readonly string[], now: number): number | undefined {
		const remaining = endpoints
			.map(endpoint => (this.#until.get(endpoint) ?? now) - now)
			.filter(milliseconds => milliseconds > 0);
		return remaining.length === 0 ? undefined : Math.min(...remaining);
	}
}
