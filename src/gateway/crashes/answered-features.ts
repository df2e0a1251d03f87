/** Remembers which features of requests were answered completely, and when the last request with each was sent. */

/** How many features are remembered: those of some minutes at an instance that answers 16 requests a second. */
const maxFeatures = 16_384;
/** How long an answer proves that its features crash nothing; endpoints may get other software or weights later. */
const validityMilliseconds = 600_000;

export class AnsweredFeatures {
	/** In milliseconds of the steady clock; the feature that was answered last is the last one. */
	readonly #sentAt = new Map<string, number>();

	/** Records a complete answer to a request that was sent at `sentAt`, in milliseconds of the steady clock. */
	note(features: Iterable<string>, sentAt: number): void {
		for (const feature of features) {
			this.#sentAt.delete(feature);
			this.#sentAt.set(feature, sentAt);
		}

		for (const feature of this.#sentAt.keys()) {
			if (this.#sentAt.size <= maxFeatures) {
				break;
			}

			this.#sentAt.delete(feature);
		}
	}

	/** Whether a request with this feature was answered lately. */
	has(feature: string, now: number): boolean {
		return now - (this.#sentAt.get(feature) ?? Number.NEGATIVE_INFINITY) < validityMilliseconds;
	}

	/** Whether a request with this feature was answered that had been sent after `time`. */
	hasSince(feature: string, time: number): boolean {
		return (this.#sentAt.get(feature) ?? Number.NEGATIVE_INFINITY) > time;
	}
}
