/**
 * Endpoints that asked to be left alone for a while: an engine that refuses with Retry-After is full, and asking it
 * again at once costs it work and the caller a round trip.
 */
export class EndpointHolds {
	readonly #until = new Map<string, number>();

	/** Leaves an endpoint alone until a time, in milliseconds since the epoch. */
	hold(endpoint: string, until: number): void {
		this.#until.set(endpoint, until);
	}

	/** True while no endpoint asked to be left alone. */
	get isEmpty(): boolean {
		return this.#until.size === 0;
	}

	/** Tells whether an endpoint is to be left alone now. */
	isHeld(endpoint: string, now: number): boolean {
		const until = this.#until.get(endpoint);
		if (until !== undefined && until <= now) {
			this.#until.delete(endpoint);
		}

		return until !== undefined && until > now;
	}

	/** How long until the first of these endpoints may be asked again, in milliseconds; `undefined` if none is held. */
	shortestHold(endpoints: readonly string[], now: number): number | undefined {
		const holds = endpoints
			.map(endpoint => (this.#until.get(endpoint) ?? now) - now)
			.filter(milliseconds => milliseconds > 0);
		return holds.length === 0 ? undefined : Math.min(...holds);
	}
}
