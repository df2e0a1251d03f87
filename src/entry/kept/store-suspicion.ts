/**
 * Exponential backoff for stores that did not answer in time, so that prompts do not each wait for a store that has failed.
 * The first pause is short: on a busy machine a healthy store times out occasionally, and each prompt that skips the store
 * during the pause is prefilled again. The pause doubles with each further timeout, up to a limit.
 */

const firstRestMilliseconds = 100;
const longestRestMilliseconds = 2000;

type Rest = {until: number; milliseconds: number};

export class StoreSuspicion {
	readonly #rests = new Map<string, Rest>();

	/** Returns whether a store is skipped now. `now` is in milliseconds since the epoch. */
	isSuspect(store: string, now: number): boolean {
		return now < (this.#rests.get(store)?.until ?? 0);
	}

	/** Notes that a store did not answer in time. During a pause it has no effect: such queries were sent before the pause. */
	late(store: string, now: number): void {
		if (this.isSuspect(store, now)) {
			return;
		}

		const last = this.#rests.get(store)?.milliseconds ?? firstRestMilliseconds / 2;
		const milliseconds = Math.min(longestRestMilliseconds, last * 2);
		this.#rests.set(store, {until: now + milliseconds, milliseconds});
	}

	/** Notes that a store listed blocks but did not deliver one. This costs a caller far more time, so the pause is the longest. */
	stalled(store: string, now: number): void {
		this.#rests.set(store, {until: now + longestRestMilliseconds, milliseconds: longestRestMilliseconds});
	}

	/** Notes that a store answered in time, which ends its backoff. */
	answered(store: string): void {
		this.#rests.delete(store);
	}
}
