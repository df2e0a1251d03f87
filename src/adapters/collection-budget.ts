/**
 * Limits what all answers that are being collected at a time hold together. Each answer has a limit of its own, but many servers may
 * send bytes without an end at once. Where the sum is exceeded, the answer that holds most is dropped, so that the short answers of
 * sound servers are still read.
 */

/** An answer that is being collected. */
export interface Collecting {
	/** Ends the collection, and releases what it holds. */
	drop(error: Error): void;
}

export class CollectionBudget {
	readonly #maxBytes: number;
	readonly #heldBytes = new Map<Collecting, number>();
	#totalBytes = 0;

	/** @param maxBytes - The maximum of all answers together. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** The bytes that all answers hold. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Records what an answer holds now. */
	note(collecting: Collecting, heldBytes: number): void {
		this.#totalBytes += heldBytes - (this.#heldBytes.get(collecting) ?? 0);
		this.#heldBytes.set(collecting, heldBytes);
		while (this.#totalBytes > this.#maxBytes) {
			let largest = collecting;
			for (const [other, bytes] of this.#heldBytes) {
				if (bytes > this.#heldBytes.get(largest)!) {
					largest = other;
				}
			}

			this.release(largest);
			largest.drop(new Error(`the answers that are being read exceed ${this.#maxBytes} bytes together`));
			if (largest === collecting) {
				return;
			}
		}
	}

	/** Records that an answer is not collected any more. */
	release(collecting: Collecting): void {
		this.#totalBytes -= this.#heldBytes.get(collecting) ?? 0;
		this.#heldBytes.delete(collecting);
	}
}
