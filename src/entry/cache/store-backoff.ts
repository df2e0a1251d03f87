/**
 * Exponential backoff for stores that did not answer in time, so that prompts do not each wait for a store that has failed.
 * The first pause is short: on a busy machine a healthy store times out occasionally, and each prompt that skips the store
 * during the pause is prefilled again. The pause doubles with each further timeout, up to a limit.
 */

const firstPauseMilliseconds = 100;
const maxPauseMilliseconds = 2000;

type Pause = {until: number; milliseconds: number};

export class StoreBackoff {
	readonly #pauses = new Map<string, Pause>();

	/** Returns whether a store is skipped now. `now` is in milliseconds since the epoch. */
	isBackingOff(store: string, now: number): boolean {
		return now < (this.#pauses.get(store)?.until ?? 0);
	}

	/** Notes that a store did not answer in time. During a pause it has no effect: such queries were sent before the pause. */
	noteTimeout(store: string, now: number): void {
		if (this.isBackingOff(store, now)) {
			return;
		}

		const last = this.#pauses.get(store)?.milliseconds ?? firstPauseMilliseconds / 2;
		const milliseconds = Math.min(maxPauseMilliseconds, last * 2);
		this.#pauses.set(store, {until: now + milliseconds, milliseconds});
	}

	/** Notes that a store listed blocks but did not deliver one. This costs a caller far more time, so the pause is the longest. */
	noteStall(store: string, now: number): void {
		this.#pauses.set(store, {until: now + maxPauseMilliseconds, milliseconds: maxPauseMilliseconds});
	}

	/** Notes that a store answered in time, which ends its backoff. */
	noteAnswer(store: string): void {
		this.#pauses.delete(store);
	}
}
