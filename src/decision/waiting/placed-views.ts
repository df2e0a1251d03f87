/**
 * Keeps an instance from sending several queued requests to one endpoint because of the same free slot.
 *
 * A view of the other instances' load is some hundred milliseconds old, and all queued requests would be placed by it at once.
 * After each such placement, the endpoint gets the next one when a newer view arrived or a request of this instance ended there.
 */

/** Interval of placements at an endpoint whose load from other instances is unknown. */
const blindIntervalMilliseconds = 100;
/** More than the endpoints that one instance places queued requests on within a view; the oldest placement is dropped first. */
const maxEndpoints = 1000;

export class PlacedViews {
	readonly #placedAt = new Map<string, number>();

	/**
	 * Decides whether a queued request may be placed on an endpoint.
	 *
	 * @param endpoint - Its name.
	 * @param viewAt - When its known load was queried, in milliseconds of the steady clock; `undefined` while it is unknown.
	 * @param now - Milliseconds of the steady clock.
	 */
	mayPlace(endpoint: string, viewAt: number | undefined, now: number): boolean {
		const placedAt = this.#placedAt.get(endpoint);
		return placedAt === undefined || (viewAt === undefined ? now - placedAt >= blindIntervalMilliseconds : viewAt > placedAt);
	}

	/** Records that a queued request was placed on an endpoint. */
	notePlaced(endpoint: string, now: number): void {
		this.#placedAt.delete(endpoint);
		this.#placedAt.set(endpoint, now);
		if (this.#placedAt.size > maxEndpoints) {
			this.#placedAt.delete(this.#placedAt.keys().next().value!);
		}
	}

	/** Records that a request of this instance ended there. */
	noteEnded(endpoint: string): void {
		this.#placedAt.delete(endpoint);
	}
}
